#!/usr/bin/env bash
. "$(dirname "$0")/../common/run.sh"
