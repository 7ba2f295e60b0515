"""Commands that validate, compare, publish and show configuration."""

from __future__ import annotations

import difflib
import json
import sys
from pathlib import Path
from typing import Any

import click

from ..config.documents import AnyDocument
from ..ids import new_id
from .base import Connection, ExitCode, json_option, pass_connection, read_documents

FILES = click.argument(
    "paths", nargs=-1, required=True, type=click.Path(path_type=Path, dir_okay=False)
)


@click.group()
def config() -> None:
    """Validate, compare, publish and show configuration."""


@config.command()
@FILES
@json_option
@pass_connection
def validate(connection: Connection, paths: tuple[Path, ...]) -> None:
    """Check documents without a gateway; every error is reported."""
    documents = read_documents(paths)
    keys = [document.key for document in documents]
    connection.show({"valid": keys}, [f"valid: {key}" for key in keys])


@config.command()
@FILES
@json_option
@pass_connection
def diff(connection: Connection, paths: tuple[Path, ...]) -> None:
    """Show what publishing would change."""
    documents = read_documents(paths)
    current = connection.get("/v1/admin/config")["documents"]
    lines: list[str] = []
    changed = []
    for document in documents:
        document_diff = _diff(document, current)
        lines.extend(document_diff)
        if document_diff:
            changed.append(document.key)
    connection.show({"changed": changed, "diff": lines}, lines or ["no change"])


@config.command()
@FILES
@click.option("--author", default="operator", help="Who publishes.")
@click.option("--yes", is_flag=True, help="Publish without asking.")
@json_option
@pass_connection
def publish(
    connection: Connection, paths: tuple[Path, ...], author: str, yes: bool
) -> None:
    """Publish documents; they are accepted together or not at all."""
    documents = read_documents(paths)
    current = connection.get("/v1/admin/config")["documents"]
    if not yes and not connection.as_json:
        for document in documents:
            for line in _diff(document, current):
                click.echo(line)
        click.confirm("Publish this?", abort=True)
    changes = [
        {
            "key": document.key,
            "base": current.get(document.key, {}).get("version", 0),
            "document": _to_json(document),
        }
        for document in documents
    ]
    _publish(connection, changes, author)


@config.command()
@click.argument("keys", nargs=-1, required=True)
@click.option("--author", default="operator", help="Who publishes.")
@json_option
@pass_connection
def remove(connection: Connection, keys: tuple[str, ...], author: str) -> None:
    """Remove documents by key, such as Target/engine-1."""
    current = connection.get("/v1/admin/config")["documents"]
    unknown = [key for key in keys if not current.get(key, {}).get("document")]
    if unknown:
        click.echo(f"not in force: {', '.join(unknown)}", err=True)
        sys.exit(ExitCode.INVALID)
    changes = [
        {"key": key, "base": current[key]["version"], "document": None} for key in keys
    ]
    _publish(connection, changes, author)


def _publish(connection: Connection, changes: list[Any], author: str) -> None:
    if not connection.as_json:
        click.echo("publishing and reading back ...", err=True)
    body = {"id": new_id("publication"), "author": author, "changes": changes}
    verdict = connection.send(
        lambda: connection.client.request("POST", "/v1/admin/config", body, retry=True)
    )
    keys = ", ".join(verdict["keys"])
    connection.show(verdict, [f"in force as version {verdict['offset'] + 1}: {keys}"])


@config.command()
@click.argument("key", required=False)
@json_option
@pass_connection
def show(connection: Connection, key: str | None) -> None:
    """Show the documents in force, or one of them."""
    answer = connection.get("/v1/admin/config")
    documents = answer["documents"]
    if key is None:
        lines = [f"configuration version {answer['version']}"]
        lines += [
            f"{name}  version {entry['version']}"
            for name, entry in sorted(documents.items())
            if entry["document"] is not None
        ]
        connection.show(answer, lines)
        return
    entry = documents.get(key)
    if entry is None or entry["document"] is None:
        click.echo(f"{key} is not in force", err=True)
        sys.exit(ExitCode.REFUSED)
    connection.show(entry, [json.dumps(entry["document"], indent=2)])


@config.command()
@json_option
@pass_connection
def history(connection: Connection) -> None:
    """Show the latest publications and what became of them."""
    answer = connection.get("/v1/admin/config/history")
    lines = []
    for publication in answer["publications"]:
        verdict = "accepted" if publication["accepted"] else "refused"
        keys = ", ".join(publication["keys"])
        lines.append(
            f"{publication['offset'] + 1}  {verdict}  {publication['author']}  {keys}"
        )
        lines.extend(f"    {conflict}" for conflict in publication["conflicts"])
    connection.show(answer, lines)


def _to_json(document: AnyDocument) -> Any:
    return document.model_dump(mode="json", exclude_none=True, exclude_unset=True)


def _diff(document: AnyDocument, current: dict[str, Any]) -> list[str]:
    before = current.get(document.key, {}).get("document")
    old = json.dumps(before, indent=2, sort_keys=True) if before else ""
    new = json.dumps(_to_json(document), indent=2, sort_keys=True)
    return list(
        difflib.unified_diff(
            old.splitlines(),
            new.splitlines(),
            f"{document.key} (in force)",
            f"{document.key} (new)",
            lineterm="",
        )
    )
