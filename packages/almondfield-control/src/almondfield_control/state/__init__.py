"""Replicated state, which every voter derives deterministically from the log."""

from almondfield_control.state.audit import audit_records_of
from almondfield_control.state.claims import ClaimTable
from almondfield_control.state.core import MAX_AUDIT_RECORDS, ControlState
from almondfield_control.state.evacuations import EvacuationRecord, EvacuationTable
from almondfield_control.state.image import decode_image, encode_image

__all__ = [
    "MAX_AUDIT_RECORDS",
    "ClaimTable",
    "ControlState",
    "EvacuationRecord",
    "EvacuationTable",
    "audit_records_of",
    "decode_image",
    "encode_image",
]
