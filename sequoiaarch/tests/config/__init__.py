"""Test package config."""
