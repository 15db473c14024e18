"""Tests of request signing."""

import unittest

from apricotpost import errors
from apricotpost import storage
from apricotpost.storage import signing
from apricotpost.storage import table
from standins import platform as standin

__all__ = ["SigningTest"]

CREDENTIALS = signing.Credentials(
    access_key="AKIDEXAMPLE",
    secret_key="wJalrXUtnFEMI/K7MDENG+bPxRfiCYEXAMPLEKEY",
    region="us-east-1",
)


class SigningTest(unittest.TestCase):
    def test_published_example(self):
        """Guards against a signature that only the stand-in accepts.

        The expected value is from the AWS documentation.
        """
        headers = signing.sign(
            CREDENTIALS,
            service="iam",
            method="GET",
            url="https://iam.amazonaws.com/"
            "?Action=ListUsers&Version=2010-05-08",
            headers={
                "Content-Type": "application/x-www-form-urlencoded; "
                "charset=utf-8"
            },
            body=b"",
            at=1440938160.0,
        )
        self.assertEqual(
            "AWS4-HMAC-SHA256 "
            "Credential=AKIDEXAMPLE/20150830/us-east-1/iam/aws4_request, "
            "SignedHeaders=content-type;host;x-amz-date, Signature="
            "5d672d79c15b13162d9279b0855cfba6"
            "789a8edb4c82c400e06b5924a6f2b5d7",
            headers["Authorization"],
        )

    def test_stand_in_accepts_only_the_right_key(self):
        """Guards against unsigned requests to either service."""
        secret = "secret-of-the-test"
        state = standin.State(keys={"AK1": secret})
        app = standin.make_app(state)
        with standin.serve(app, host="127.0.0.1", port=0, threads=2) as port:
            authorized = self.open_store(port, secret)
            self.assertIsNone(
                table.get(authorized.table, table.Key(pk="p", sk=""))
            )
            name = storage.objects.put_object(
                authorized.objects, b"body", prefix="outcomes/"
            )
            self.assertEqual(
                b"body", storage.objects.get_object(authorized.objects, name)
            )
            unauthorized = self.open_store(port, "another-secret")
            with self.assertRaises(errors.PlatformUnavailable):
                table.get(unauthorized.table, table.Key(pk="p", sk=""))
            with self.assertRaises(errors.PlatformUnavailable):
                storage.objects.put_object(unauthorized.objects, b"body")

    def open_store(self, port, secret):
        credentials = storage.read_credentials(
            region="lv-riga",
            access_key_variable="KEY",
            secret_key_variable="SECRET",
            environment={"KEY": "AK1", "SECRET": secret},
        )
        store = storage.open_store(
            table_url=f"http://127.0.0.1:{port}",
            object_url=f"http://127.0.0.1:{port}",
            table_name="apricotpost",
            bucket="apricotpost",
            timeout_seconds=5.0,
            credentials=credentials,
        )
        self.addCleanup(store.channel.pool.clear)
        return store

    def test_missing_variable_is_named(self):
        """Guards against a node that starts without its credentials."""
        with self.assertRaises(errors.SettingsInvalid) as caught:
            storage.read_credentials(
                region="lv-riga",
                access_key_variable="KEY",
                secret_key_variable="SECRET",
                environment={"KEY": "AK1"},
            )
        self.assertIn("SECRET", caught.exception.faults[0])
