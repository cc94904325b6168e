#!/bin/sh
# Builds the program that the scripts of review/11 to review/15 start: their stand-ins of the store, the endpoints and the clients.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review3 ./review/11/_standin
