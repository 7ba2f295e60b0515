"""Policies for placement, order, admission, retention, retries and health."""
