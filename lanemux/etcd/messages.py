"""The messages of etcd's v3 API that are used, reduced to the needed fields. Source: etcd's public rpc.proto and
kv.proto. protobuf keeps all other fields of a response as unknown fields, which are ignored."""

from __future__ import annotations

from typing import Any

from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

PACKAGE = "lanemux.etcd"
FIELD_TYPES = {"bytes": 12, "string": 9, "int64": 3, "uint64": 4, "bool": 8, "int32": 5}  # FieldDescriptorProto.Type
MESSAGE, REPEATED, SINGLE = 11, 3, 1
# message -> its fields: name, number, type; "*" marks a repeated one. The type of an event is an enumeration in
# etcd, which is encoded like an int32.
FIELDS: dict[str, tuple[tuple[str, int, str], ...]] = {
    "ResponseHeader": (("cluster_id", 1, "uint64"), ("member_id", 2, "uint64"), ("revision", 3, "int64")),
    "KeyValue": (
        ("key", 1, "bytes"),
        ("create_revision", 2, "int64"),
        ("mod_revision", 3, "int64"),
        ("value", 5, "bytes"),
    ),
    "RangeRequest": (
        ("key", 1, "bytes"),
        ("range_end", 2, "bytes"),
        ("limit", 3, "int64"),
        ("revision", 4, "int64"),
        ("serializable", 7, "bool"),
    ),
    "RangeResponse": (("header", 1, "ResponseHeader"), ("kvs", 2, "KeyValue*"), ("more", 3, "bool")),
    "Event": (("type", 1, "int32"), ("kv", 2, "KeyValue")),
    "WatchCreateRequest": (
        ("key", 1, "bytes"),
        ("range_end", 2, "bytes"),
        ("start_revision", 3, "int64"),
        ("progress_notify", 4, "bool"),
        ("fragment", 8, "bool"),
    ),
    "WatchProgressRequest": (),
    "WatchRequest": (("create_request", 1, "WatchCreateRequest"), ("progress_request", 3, "WatchProgressRequest")),
    "WatchResponse": (
        ("header", 1, "ResponseHeader"),
        ("watch_id", 2, "int64"),
        ("created", 3, "bool"),
        ("canceled", 4, "bool"),
        ("compact_revision", 5, "int64"),
        ("cancel_reason", 6, "string"),
        ("fragment", 7, "bool"),
        ("events", 11, "Event*"),
    ),
    "AuthenticateRequest": (("name", 1, "string"), ("password", 2, "string")),
    "AuthenticateResponse": (("header", 1, "ResponseHeader"), ("token", 2, "string")),
}
DELETED = 1  # value of Event.type


def _build_classes() -> dict[str, Any]:
    proto_file = descriptor_pb2.FileDescriptorProto(name="lanemux_etcd.proto", package=PACKAGE, syntax="proto3")
    for name, fields in FIELDS.items():
        message = proto_file.message_type.add(name=name)
        for field, number, field_type in fields:
            base_type = field_type.rstrip("*")
            added = message.field.add(
                name=field,
                number=number,
                label=REPEATED if field_type != base_type else SINGLE,
                type=FIELD_TYPES.get(base_type, MESSAGE),
            )
            if base_type not in FIELD_TYPES:
                added.type_name = f".{PACKAGE}.{base_type}"
    pool = descriptor_pool.DescriptorPool()
    pool.Add(proto_file)
    return {name: message_factory.GetMessageClass(pool.FindMessageTypeByName(f"{PACKAGE}.{name}")) for name in FIELDS}


_message_classes = _build_classes()
RangeRequest = _message_classes["RangeRequest"]
RangeResponse = _message_classes["RangeResponse"]
WatchRequest = _message_classes["WatchRequest"]
WatchResponse = _message_classes["WatchResponse"]
AuthenticateRequest = _message_classes["AuthenticateRequest"]
AuthenticateResponse = _message_classes["AuthenticateResponse"]
