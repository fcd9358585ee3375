import json
import sys
import tempfile
import types
import unittest
from pathlib import Path
from unittest import mock

from click.testing import CliRunner
from jsonschema import Draft202012Validator

from almondspread_daemon.command import main
from almondspread_daemon.settings import read_settings

EXAMPLES = Path(__file__).resolve().parents[4] / "examples" / "local"


class CommandTest(unittest.TestCase):
    def setUp(self):
        self.runner = CliRunner()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.bad = Path(directory.name) / "bad.json"
        self.bad.write_text('{"name": "UMEA", "loge": {}}')

    def test_examples_are_good_by_loader_and_schema(self):
        printed = self.runner.invoke(main, ["schema"])
        validator = Draft202012Validator(json.loads(printed.stdout))
        listeners = set()
        paths = sorted(EXAMPLES.glob("*.json"))
        for path in paths:
            checked = self.runner.invoke(main, ["check-config", str(path)])
            self.assertEqual(checked.exit_code, 0, checked.output)
            validator.validate(json.loads(path.read_text()))
            settings = read_settings(path).ok
            listeners.update((settings.http.listen, settings.peer.listen))
        self.assertEqual(len(paths), 3)
        self.assertEqual(len(listeners), 6)

    def test_check_config_names_every_wrong_key(self):
        checked = self.runner.invoke(main, ["check-config", str(self.bad)])
        self.assertEqual(checked.exit_code, 2)
        keys = [line.split(":")[0] for line in checked.stderr.splitlines()[1:]]
        missing = ["operator", "failure_domain", "failure_domains", "platform"]
        self.assertCountEqual(keys, ["name", "loge", *missing])

    def test_run_refuses_bad_settings_and_missing_files(self):
        for path in (self.bad, self.bad.with_name("none.json")):
            self.assertEqual(
                self.runner.invoke(main, ["run", "--config", str(path)]).exit_code, 2
            )

    def test_run_hands_the_settings_to_the_entry_and_returns_its_code(self):
        process = types.ModuleType("almondspread_daemon.process")
        process.run_entry = mock.AsyncMock(return_value=7)
        path = EXAMPLES / "entry-1.json"
        with mock.patch.dict(sys.modules, {process.__name__: process}):
            result = self.runner.invoke(main, ["run", "--config", str(path)])
        self.assertEqual(result.exit_code, 7)
        process.run_entry.assert_awaited_once_with(read_settings(path).ok, path)
