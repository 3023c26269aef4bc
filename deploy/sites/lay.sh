#!/usr/bin/env bash
# Lays beside the sites here what the bench looks for beside a site file: the names on the wire and on the sockets, and
# the kinds of trouble that are known. They come from the operators' kit and are not part of this repository.
# Usage: deploy/sites/lay.sh [KIT]   (default: ../given/kit beside the repository)
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
kit=${1:-$here/../../../given/kit}
from=$kit/more/node/sites
for file in real.json wire.json unlock.txt; do
    if [ ! -f "$from/$file" ]; then
        echo "lay.sh: $from/$file is not there: name the operators' kit as the first argument" >&2
        exit 1
    fi
done
for file in real.json wire.json unlock.txt; do
    install -m 644 "$from/$file" "$here/$file"
done
echo "laid real.json, wire.json and unlock.txt into $here"
