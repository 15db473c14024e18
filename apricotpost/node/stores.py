"""Connections to the platform's store, made from the settings."""

from apricotpost import settings
from apricotpost import storage

__all__ = ["open_store"]


def open_store(options: settings.PlatformSettings) -> storage.Store:
    """Open a store with its own connection pool.

    Raises
    ------
    apricotpost.errors.SettingsInvalid
        An environment variable with credentials is not set.
    """
    credentials = None
    if options.credentials is not None:
        credential_options = options.credentials
        credentials = storage.read_credentials(
            region=credential_options.region,
            access_key_variable=credential_options.access_key_variable,
            secret_key_variable=credential_options.secret_key_variable,
            session_token_variable=credential_options.session_token_variable
            or "",
        )
    return storage.open_store(
        table_url=options.table_url,
        object_url=options.object_url,
        table_name=options.table,
        bucket=options.bucket,
        timeout_seconds=options.timeout_seconds,
        credentials=credentials,
    )
