#!/usr/bin/env bash
# Tests an unmodified published client library against a running entry VM.
#
#   tests/openai-client.sh ADDRESS KEY MODEL [PACKAGE]
#   tests/openai-client.sh 127.0.0.1:21101 pw-key-fleet-office review-llm
#
# PACKAGE is the pip requirement, `openai` by default; `openai==2.8.1` pins the version. It is
# installed into a temporary environment. Exit codes: 0 all passed, 1 a check failed, 2 wrong usage.
set -euo pipefail
if [ $# -lt 3 ]; then
    sed -n '2,8s/^# \{0,1\}//p' "$0" >&2
    exit 2
fi
here=$(cd "$(dirname "$0")" && pwd)
environment=$(mktemp -d)
trap 'rm -rf "$environment"' EXIT
python3 -m venv "$environment"
"$environment/bin/pip" install --quiet --disable-pip-version-check "${4:-openai}"
"$environment/bin/python" "$here/openai_client.py" "$1" "$2" "$3"
