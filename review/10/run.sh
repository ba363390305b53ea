#!/bin/sh
exec sh "$(dirname "$0")/../run-2.sh" 10 RestartWithClockBack
