import unittest
from pathlib import Path

from almondspread_daemon.settings.page import render_settings_page

PAGE = Path(__file__).parents[5] / "docs" / "operators" / "settings.md"


class SettingsPageTest(unittest.TestCase):
    def test_the_committed_page_is_current(self):
        remedy = (
            "write it again: almondspreadd schema --page > docs/operators/settings.md"
        )
        self.assertEqual(PAGE.read_text(), render_settings_page(), remedy)
