"""An entry that dispatches directly to back ends over HTTP."""
