"""Format status reports as JSON.

Only commands import this module: json_format would cost a daemon memory.
"""

from google.protobuf import json_format

from bluebellfold.operators.codec import encode_report
from bluebellfold.operators.messages import StatusReport


def format_json(report: StatusReport) -> str:
    """Return the report as JSON in one line."""
    return json_format.MessageToJson(
        encode_report(report),
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
        indent=None,
    )
