"""Runs the command line of the stand-ins."""

from almondspread_standin.commands import main

if __name__ == "__main__":
    main()
