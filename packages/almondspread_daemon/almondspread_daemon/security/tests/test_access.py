import hashlib
import unittest

from almondspread_daemon.http.application import ROUTES
from almondspread_daemon.security import Access, TokenTable, authorize
from almondspread_daemon.security.access import Identity
from almondspread_daemon.settings import Token


def make_token(text, role, team=""):
    return Token(hashlib.sha256(text.encode()).hexdigest(), role, team)


class TokenTableTest(unittest.TestCase):
    def setUp(self):
        self.table = TokenTable(
            (make_token("stop", "caller"), make_token("depot", "operator", "depots"))
        )

    def test_identifies_by_role_and_team(self):
        self.assertEqual(self.table.identify("Bearer stop").role, "caller")
        identity = self.table.identify("bearer depot")
        self.assertEqual((identity.role, identity.team), ("operator", "depots"))
        self.assertTrue(identity.may_change("depots"))
        self.assertFalse(identity.may_change("booking"))

    def test_anything_else_is_anonymous(self):
        for header in ("", "Bearer", "Bearer ", "Basic stop", "Bearer stops", "stop"):
            with self.subTest(header=header):
                self.assertEqual(self.table.identify(header).role, "anonymous")

    def test_name_does_not_hold_the_token(self):
        self.assertNotIn("depot", self.table.identify("Bearer depot").name)

    def test_replaced_tokens_are_in_force_at_once(self):
        self.table.replace((make_token("new", "admin"),))
        self.assertEqual(self.table.identify("Bearer stop").role, "anonymous")
        self.assertEqual(self.table.identify("Bearer new").role, "admin")


class AuthorizeTest(unittest.TestCase):
    # What each role may do on each route; a new route has to be entered here.
    ALLOWED = {
        "/v1/resources/([^/]+)": {"operator", "admin"},
        "/v1/resources/([^/]+)/([^/]+)": {"operator", "admin"},
        "/v1/apply": {"operator", "admin"},
        "/v1/cancel": {"operator", "admin"},
        "/v1/watch": {"operator", "admin"},
        "/v1/describe/([^/]+)/([^/]+)": {"operator", "admin"},
        "/v1/requests/([^/]+)/([^/]+)": {"caller", "admin"},
        "/v1/keys/([^/]+)/([^/]+)": {"caller", "admin"},
        "/v1/status": {"operator", "admin"},
        "/v1/cell": {"operator", "admin"},
        "/metrics": {"operator", "admin"},
        "/healthz": {"anonymous", "caller", "operator", "admin"},
        "/readyz": {"anonymous", "caller", "operator", "admin"},
    }

    def test_every_route_and_role(self):
        self.assertEqual({path for path, _, _ in ROUTES}, set(self.ALLOWED))
        for path, _, access in ROUTES:
            for role in ("anonymous", "caller", "operator", "admin", "peer"):
                with self.subTest(path=path, role=role):
                    allowed = authorize(Identity(role), access).is_ok()
                    self.assertEqual(allowed, role in self.ALLOWED[path])

    def test_refusals_tell_missing_from_insufficient(self):
        self.assertEqual(
            authorize(Identity("anonymous"), Access.OPERATE).error.http_status, 401
        )
        self.assertEqual(
            authorize(Identity("peer"), Access.PUBLIC).error.http_status, 403
        )
