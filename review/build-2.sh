#!/bin/sh
# The stand-ins of cases 4 to 6 are Python modules of this repository, those of the project
# included, and need no step of their own but the libraries of the deploy file's build. This
# checks that they can be imported.
cd "$(dirname "$0")/.." || exit 1
[ target/deps -nt requirements.txt ] || python3 -m pip install -q -U --target target/deps -r requirements.txt || exit 1
PYTHONPATH=target/deps:.:review PYTHONDONTWRITEBYTECODE=1 python3 -c "import harness_2"
