"""The operators' command line against a control process over the HTTP interface."""

import contextlib
import io
import json
import tempfile
import threading
from pathlib import Path

from mulberryrill.bin.operator import main
from tests.common.control import TOKENS, ControlTestCase, build_document_text


class OperatorProcessTest(ControlTestCase):
    """Guards against a command line and a control process that disagree on the interface."""

    def run_command(self, *arguments: str, code: int = 0) -> str:
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            result = main(["mulberryrill", *self.flags, *arguments])
        self.assertEqual(result, code, output.getvalue())
        return output.getvalue()

    def test_document_is_applied_shown_and_listed_and_a_data_centre_drained(self) -> None:
        settings = self.create_settings()
        program = self.start_control(settings)
        self.wait_ready(program)
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        document, token = folder / "d.yaml", folder / "token"
        document.write_text(build_document_text())
        token.write_text(TOKENS["asha"])
        url = f"http://127.0.0.1:{program.ports[0]}"
        self.flags = [f"--operators-url=http://127.0.0.1:1,{url}", f"--token-file={token}"]
        apply = ("apply", str(document), "--base-revision=0")
        gateway = self.connect_gateway(program, settings)
        stopped = threading.Event()

        def run_gateway() -> None:
            while not stopped.is_set():
                gateway.report_and_receive()

        thread = threading.Thread(target=run_gateway)
        thread.start()
        try:
            self.assertIn("in force everywhere", self.run_command(*apply, "--wait=20"))
        finally:
            stopped.set()
            thread.join()
        gateway.acknowledges_snapshots = False
        self.assertIn("is not the current one", self.run_command(*apply, code=1))
        document.write_text(self.run_command("show", "flavour-questions"))
        self.assertIn("k-1", self.run_command("apply", str(document), "--wait=0.1", code=4))
        history = json.loads(self.run_command("history", "flavour-questions", "--json"))
        accepted = [entry["accepted"] for entry in history["history"]]
        self.assertEqual(accepted, [True, False, True])
        self.assertIn("drained", self.run_command("drain", "k", "--reason=power"))
        status = json.loads(self.run_command("status", "--json"))
        self.assertEqual(status["orders"][0]["reason"], "power")
        self.assertIn("in service", self.run_command("return", "k").replace("_", " "))
        self.run_command("explain", "req-unknown", code=3)
