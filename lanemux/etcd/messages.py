"""The messages of etcd's v3 API that are spoken here, with the fields that are used. Source: etcd's public rpc.proto
and kv.proto. What a server sends beyond them is kept apart by protobuf itself and read by nobody."""

from __future__ import annotations

from typing import Any

from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

PACKAGE = "lanemux.etcd"
KINDS = {"bytes": 12, "string": 9, "int64": 3, "uint64": 4, "bool": 8, "int32": 5}  # FieldDescriptorProto.Type
MESSAGE, REPEATED, SINGLE = 11, 3, 1
# message -> its fields: name, number, kind; "*" stands for repeated. The kind of an event is an enumeration there,
# which is written like an int32.
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
DELETED = 1  # the kind of an event


def _classes() -> dict[str, Any]:
    file = descriptor_pb2.FileDescriptorProto(name="lanemux_etcd.proto", package=PACKAGE, syntax="proto3")
    for name, fields in FIELDS.items():
        message = file.message_type.add(name=name)
        for field, number, kind in fields:
            plain = kind.rstrip("*")
            added = message.field.add(
                name=field, number=number, label=REPEATED if kind != plain else SINGLE, type=KINDS.get(plain, MESSAGE)
            )
            if plain not in KINDS:
                added.type_name = f".{PACKAGE}.{plain}"
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return {name: message_factory.GetMessageClass(pool.FindMessageTypeByName(f"{PACKAGE}.{name}")) for name in FIELDS}


_made = _classes()
RangeRequest = _made["RangeRequest"]
RangeResponse = _made["RangeResponse"]
WatchRequest = _made["WatchRequest"]
WatchResponse = _made["WatchResponse"]
AuthenticateRequest = _made["AuthenticateRequest"]
AuthenticateResponse = _made["AuthenticateResponse"]
