#!/usr/bin/env bash
exec "$(dirname "$0")/../second/run-case.sh" review/10 WatchCutCase
