"""The entry process: HTTP server, admission, routing and retries."""
