"""An entry that dispatches to back ends over HTTP, with no process beside."""
