"""Connections to the platform as the settings describe it."""

from apricotpost import settings
from apricotpost import storage

__all__ = ["open_store"]


def open_store(options: settings.PlatformSettings) -> storage.Store:
    """Make a store with a connection of its own.

    Raises
    ------
    apricotpost.errors.SettingsInvalid
        An environment variable with credentials is not set.
    """
    credentials = None
    if options.credentials is not None:
        names = options.credentials
        credentials = storage.read_credentials(
            region=names.region,
            access_key_variable=names.access_key_variable,
            secret_key_variable=names.secret_key_variable,
            session_token_variable=names.session_token_variable or "",
        )
    return storage.open_store(
        table_url=options.table_url,
        object_url=options.object_url,
        table_name=options.table,
        bucket=options.bucket,
        timeout_seconds=options.timeout_seconds,
        credentials=credentials,
    )
