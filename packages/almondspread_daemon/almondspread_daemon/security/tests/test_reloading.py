import hashlib
import json
import os
import tempfile
import unittest
from pathlib import Path

from almondspread_daemon.security import TokenTable
from almondspread_daemon.security.reloading import make_token_reloader
from almondspread_daemon.settings import read_settings

EXAMPLE = Path(__file__).parents[5] / "examples" / "local" / "entry-1.json"


class TokenReloaderTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "entry.json"
        self.moment = 1
        self.write("first")
        self.table = TokenTable(read_settings(self.path).ok.tokens)
        self.reload = make_token_reloader(self.path, self.table)

    def write(self, token, **wrong):
        document = json.loads(EXAMPLE.read_text())
        digest = hashlib.sha256(token.encode()).hexdigest()
        document["tokens"] = [{"sha256": digest, "role": "operator"}]
        self.path.write_text(json.dumps({**document, **wrong}))
        self.moment += 1
        os.utime(self.path, ns=(self.moment, self.moment))

    def test_a_changed_file_puts_its_tokens_in_force(self):
        self.assertFalse(self.reload())
        self.write("second")
        self.assertTrue(self.reload())
        self.assertEqual(self.table.identify("Bearer first").role, "anonymous")
        self.assertEqual(self.table.identify("Bearer second").role, "operator")

    def test_a_file_with_a_fault_changes_nothing(self):
        self.write("second", colour="red")
        self.assertFalse(self.reload())
        self.path.unlink()
        self.assertFalse(self.reload())
        self.assertEqual(self.table.identify("Bearer first").role, "operator")

    def test_a_token_withdrawn_while_the_process_starts_is_refused(self):
        """It stayed in force until the file changed once more."""
        self.write("second")
        reload = make_token_reloader(self.path, self.table)
        self.assertTrue(reload())
        self.assertEqual(self.table.identify("Bearer first").role, "anonymous")
        self.assertFalse(reload())

    def test_a_file_without_tokens_does_not_open_a_guarded_process(self):
        """Its address may be a loopback one, which takes effect only at a restart."""
        self.write("second", tokens=[])
        self.assertFalse(self.reload())
        self.assertEqual(self.table.identify("").role, "anonymous")
