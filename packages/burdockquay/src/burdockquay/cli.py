"""Command line tool ``burdockquay`` for operators.

Exit codes: 0 success; 1 invalid input or a failed check; 2 invalid arguments; 3 the record was
changed by someone else in the meantime; 4 the platform does not answer; 5 the change may or may not
have been accepted; 6 some process did not answer; 7 no such record or request. Data can have been
written only with 0 or 5.
"""

from __future__ import annotations

import sys

from cyclopts import App

from burdockquay_state import UnknownNameError

from ._explain_command import explain
from ._losses_command import losses
from ._output import ExitCode, print_error
from ._record_command import record_app
from ._settings_command import settings_app
from ._status_command import status, usage

app = App(name="burdockquay", help=__doc__, version="0.1.0")
app.command(record_app)
app.command(settings_app)
app.command(status)
app.command(usage)
app.command(explain)
app.command(losses)


def main() -> None:
    """Run the command line and exit with its exit code."""
    try:
        code = app(sys.argv[1:])
    except UnknownNameError as error:
        print_error(error)
        code = ExitCode.ARGUMENTS
    sys.exit(code)


if __name__ == "__main__":
    main()
