"""Tests of the validation of the sheet."""

import datetime
import unittest

import hypothesis
from hypothesis import strategies

from apricotpost.admin import requests
from apricotpost.admin import sheet
from apricotpost.admin import sheet_text
from apricotpost.admin import tokens
from apricotpost import errors
from apricotpost import model

__all__ = [
    "NOW",
    "OPERATOR",
    "MINIMUM_DURATIONS",
    "SheetTest",
    "make_snapshot",
]

NOW = datetime.datetime(2027, 1, 15, 8, tzinfo=datetime.UTC).timestamp()
HEADER = "service,version,data_centre,state,finish_by\n"
LATER = "2027-01-15T09:00:00Z"
MINIMUM_DURATIONS = requests.MinimumDurations(
    rollout_seconds=30, data_centre_seconds=10
)
OPERATOR = tokens.Actor(
    author="ilze",
    team="portal-team",
    rights=frozenset((tokens.READ, tokens.CHANGE, tokens.DATA_CENTRES)),
)


def make_snapshot(**fields):
    """Return a configuration of two services and two data centres."""
    share = model.VersionShare(version="v1", share=model.TOTAL_SHARE)
    content = {
        "services": (
            model.Service(
                name="certdesk", team="cert-team", versions=(share,)
            ),
            model.Service(
                name="portal", team="portal-team", versions=(share,)
            ),
        ),
        "data_centres": (
            model.DataCentre(name="riga-1", region="lv-riga"),
            model.DataCentre(name="riga-2", region="lv-riga"),
        ),
    }
    return model.Snapshot(version=7, **{**content, **fields})


def check(text, *, actor=OPERATOR, snapshot=None):
    """Check a sheet against a small configuration."""
    return sheet.check_sheet(
        text,
        snapshot or make_snapshot(),
        actor=actor,
        minimum_durations=MINIMUM_DURATIONS,
        now=NOW,
    )


class SheetTest(unittest.TestCase):
    def assert_faults(
        self, rows, expected, error_type=errors.SheetInvalid, **options
    ):
        with self.assertRaises(error_type) as caught:
            check(HEADER + "\n".join(rows), **options)
        self.assertEqual(expected, list(caught.exception.faults))

    def test_rows_become_moves(self):
        """Guards against rows lost to a byte order mark or CRLF line ends."""
        text = "\ufeff" + HEADER + f"portal,v2,,,{LATER}\n\n"
        text += ",,riga-2,out,2027-01-15T11:00:00+02:00\n"
        checked = check(text.replace("\n", "\r\n"))
        self.assertEqual(
            (
                requests.VersionMove(
                    service="portal", version="v2", finish_by=NOW + 3600
                ),
                requests.DataCentreMove(
                    data_centre="riga-2",
                    state=model.DataCentreState.OUT,
                    finish_by=NOW + 3600,
                ),
            ),
            checked.moves,
        )

    def test_every_fault_is_listed_by_row_and_column(self):
        """Guards against a check that stops at the first fault."""
        self.assert_faults(
            [
                f"portal,v2,,,{LATER}",
                f"portal,v3,,,{LATER}",
                f"nothere,v2,,,{LATER}",
                f"portal,v2,riga-1,out,{LATER}",
                ",,riga-9,up,soon",
                "certdesk,,,,2027-01-15T07:00:00Z",
                ",,riga-2,out,2027-01-15T08:00:05Z",
                "portal,v2",
                ",,riga-1,out,",
            ],
            [
                "row 3, column service: portal is already listed in row 2",
                "row 4, column service: unknown service 'nothere'; known: "
                "certdesk, portal",
                "row 5, column service: portal is already listed in row 2",
                "row 5, column service: a row names either a service and a "
                "version, or a data centre and a state",
                "row 6, column data_centre: unknown data centre 'riga-9'; "
                "known: riga-1, riga-2",
                "row 6, column state: 'up' is not 'in' or 'out'",
                "row 6, column finish_by: 'soon' is not a time in RFC 3339 "
                "format, such as 2027-01-15T09:30:00+02:00",
                "row 7, column service: certdesk belongs to team cert-team; "
                "ilze of team portal-team may not change it",
                "row 7, column version: '' is not a version",
                "row 7, column finish_by: 2027-01-15T07:00:00Z is in the past",
                "row 8, column finish_by: 2027-01-15T08:00:05Z is too soon: "
                "5 s remain, the move takes at least 10 s",
                "row 9, column -: 2 columns, expected 5",
                "row 10, column data_centre: riga-1 is already listed in "
                "row 5",
                "row 10, column finish_by: missing",
            ],
        )

    def test_header_with_semicolons_is_explained(self):
        """Guards against an unclear error for a sheet with semicolons.

        Some spreadsheet programs write semicolons between the columns, and
        the header then reads as one column.
        """
        with self.assertRaises(errors.SheetInvalid) as caught:
            check(HEADER.replace(",", ";") + f"portal;v2;;;{LATER}\n")
        (fault,) = caught.exception.faults
        self.assertIn("use commas", fault)

    def test_unclosed_quote_is_a_fault(self):
        """Guards against rows lost in a cell whose quote is not closed."""
        with self.assertRaises(errors.SheetInvalid) as caught:
            check(HEADER + f'portal,"v2,,,{LATER}\n')
        self.assertIn("row 2", caught.exception.faults[0])

    def test_rows_that_hold_are_unchanged(self):
        """Guards against refusing rows that are in force already.

        Such rows may remain in the sheet with a time in the past.
        """
        checked = check(HEADER + "portal,v1,,,2020-01-01T00:00:00Z\n")
        self.assertEqual((), checked.moves)
        self.assertEqual(("service portal at v1",), checked.unchanged)

    def test_another_version_during_a_rollout_is_a_fault(self):
        """Guards against two concurrent rollouts of one service."""
        rollout = model.Rollout(
            identifier="r1",
            service="portal",
            old="v1",
            new="v2",
            state=model.RolloutState.RUNNING,
            share=10,
            started_at=NOW,
            finish_by=NOW + 3600,
            changed_at=NOW,
        )
        snapshot = make_snapshot(rollouts=(rollout,))
        same = check(HEADER + f"portal,v2,,,{LATER}\n", snapshot=snapshot)
        self.assertEqual((), same.moves)
        self.assert_faults(
            [f"portal,v3,,,{LATER}"],
            [
                "row 2, column version: rollout r1 to v2 is running; wait "
                "for its end or withdraw it"
            ],
            snapshot=snapshot,
        )

    def test_missing_rights_are_denied(self):
        """Guards against a data centre move by a team without the right."""
        actor = tokens.Actor(
            author="ana", team="portal-team", rights=frozenset(("change",))
        )
        self.assert_faults(
            [f",,riga-2,out,{LATER}"],
            ["row 2, column data_centre: ana lacks the right data-centres"],
            error_type=errors.AccessDenied,
            actor=actor,
        )

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        strategies.lists(
            strategies.lists(
                strategies.sampled_from(
                    ["", "portal", "v2", "riga-2", "out", LATER, '"', "\0"]
                ),
                max_size=6,
            ).map(",".join),
            max_size=4,
        )
    )
    def test_any_text_is_accepted_whole_or_refused(self, rows):
        """Guards against an untyped failure and a row that is dropped."""
        try:
            checked = check(HEADER + "\n".join(rows))
        except (errors.SheetInvalid, errors.AccessDenied) as error:
            self.assertTrue(error.faults)
            return
        filled = [row for row in rows if row.strip(",")]
        self.assertEqual(len(filled), len(checked.moves + checked.unchanged))

    def test_quoted_line_break_is_a_fault(self):
        """Guards against lines that a stray quote hides without a word."""
        for rows in ('"\n"', '"\r\n"', f'"\n",,,,\nportal,v2,,,{LATER}'):
            with self.assertRaises(errors.SheetInvalid):
                check(HEADER + rows)

    def test_times_need_a_date_and_an_offset(self):
        """Guards against times without a valid date or a UTC offset.

        Their moment would depend on the reader's time zone.
        """
        for text in ("2027-01-15T09:00:00", "09:00", "2027-02-30T09:00:00Z"):
            self.assertIsNone(sheet_text.parse_time(text), text)
