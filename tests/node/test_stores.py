"""Tests of the stores that are opened from the settings."""

import os
import unittest
from unittest import mock

from apricotpost import errors
from apricotpost.node import stores
from apricotpost import settings

__all__ = ["StoresTest"]

OPTIONS = settings.PlatformSettings(
    table_url="http://127.0.0.1:1",
    object_url="http://127.0.0.1:1",
    credentials=settings.CredentialSettings(
        region="lv-riga",
        access_key_variable="TEST_KEY",
        secret_key_variable="TEST_SECRET",
    ),
)


class StoresTest(unittest.TestCase):
    def test_credentials_come_from_the_named_variables(self):
        """Guards against unsigned requests and against secrets in logs."""
        environment = {"TEST_KEY": "key", "TEST_SECRET": "hidden"}
        with mock.patch.dict(os.environ, environment):
            store = stores.open_store(OPTIONS)
        credentials = store.objects.channel.credentials
        self.assertEqual("hidden", credentials.secret_key)
        self.assertNotIn("hidden", repr(store))

    def test_missing_variables_are_a_fault_of_the_settings(self):
        """Guards against a node that starts without its credentials."""
        with self.assertRaises(errors.SettingsInvalid):
            stores.open_store(OPTIONS)
