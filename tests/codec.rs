//! Decoders and parsers of untrusted input, from peers, callers, targets, the platform and
//! operators.
//!
//! Covered are malformed input, which must not cause a panic, length prefixes that claim more
//! memory than the input justifies, and round trips.

use std::cell::Cell;

use bincode::de::Decoder;
use bincode::error::DecodeError;
use bincode::{Decode, Encode};
use cloverrack::answer::{Answer, CallerRequest};
use cloverrack::document::{DocumentStore, VM_LIST};
use cloverrack::gossip::Datagram;
use cloverrack::ticket::TicketBlock;
use cloverrack::wire::{
    BatchCommand, DocumentBody, DocumentRequest, ForwardedRequest, FrameDecoder, LeafReply,
    LeafResult, MAX_FRAME_BYTES, WireError, decode, encode, encode_frame,
};
use cloverrack::{CallId, ConfigFile, Incarnation, Snapshot, Ticket};
use proptest::prelude::*;

thread_local! {
    static DECODED: Cell<usize> = const { Cell::new(0) };
}

/// Element that is far larger in memory than on the wire; counts how many were decoded.
#[derive(Debug)]
struct Large(#[expect(dead_code, reason = "only its size matters")] [u64; 32]);

impl Decode<()> for Large {
    fn decode<D: Decoder<Context = ()>>(decoder: &mut D) -> Result<Self, DecodeError> {
        DECODED.set(DECODED.get() + 1);
        let byte = u8::decode(decoder)?;
        Ok(Self([u64::from(byte); 32]))
    }
}

/// Guards against a length prefix that allocates far more memory than the frame's size. Memory is
/// allocated before the first element is decoded, so no element is decoded if the prefix is
/// refused.
#[test]
fn a_length_prefix_claims_no_memory_beyond_the_frame() {
    let mut bytes = encode(&4_000_u32).unwrap();
    bytes.extend([0; 100]);
    assert_eq!(
        decode::<Vec<Large>>(&bytes).err(),
        Some(WireError::Malformed)
    );
    assert_eq!(
        DECODED.get(),
        0,
        "a length prefix in {} bytes allocated 1 MB",
        bytes.len()
    );
}

/// Guards against the limit on allocated memory refusing valid messages, such as long lists of
/// small elements.
#[test]
fn large_messages_of_small_elements_are_decoded() {
    for length in [0, 1, 100, 10_000, 1_000_000, 4_000_000] {
        let numbers = vec![1_u32; length];
        let bytes = encode(&numbers).unwrap();
        assert_eq!(decode::<Vec<u32>>(&bytes), Ok(numbers));
    }
}

/// Guards against buffering a frame whose length prefix exceeds the maximum frame size. The prefix
/// alone must be enough to refuse it.
#[test]
fn an_oversized_frame_is_refused_before_it_arrives() {
    let mut decoder = FrameDecoder::default();
    let frame_bytes = MAX_FRAME_BYTES + 1;
    decoder.extend(&u32::try_from(frame_bytes).unwrap().to_be_bytes());
    let refused = decoder.next_message::<u32>();
    assert_eq!(refused, Err(WireError::TooLarge { frame_bytes }));
}

fn text() -> impl Strategy<Value = Box<str>> {
    ".{0,20}".prop_map(String::into_boxed_str)
}

prop_compose! {
    fn caller_request()(
        service in text(),
        member in text(),
        request_id in text(),
        deadline_ms in any::<u64>(),
        idempotent in any::<bool>(),
        payload in text(),
    ) -> CallerRequest {
        CallerRequest {
            service, member, request_id, deadline_ms, idempotent, prefer: None, payload,
        }
    }
}

prop_compose! {
    fn ticket()(
        fields in any::<[u64; 4]>(),
        address in any::<std::net::SocketAddrV4>(),
        number in any::<u32>(),
    ) -> Ticket {
        let [start, block, expires_ms, check] = fields;
        let issuer = Incarnation::new(start >> 20, number);
        let address = address.into();
        Ticket { block: TicketBlock { issuer, address, block, expires_ms, check }, number }
    }
}

/// Decodes bytes as each kind of message and ignores errors; only a panic fails the test.
fn decode_all(bytes: &[u8]) {
    let _ = decode::<BatchCommand>(bytes);
    let _ = decode::<LeafReply>(bytes);
    let _ = decode::<ForwardedRequest>(bytes);
    let _ = decode::<Answer>(bytes);
    let _ = decode::<DocumentRequest>(bytes);
    let _ = decode::<Vec<DocumentBody>>(bytes);
    let _ = decode::<Datagram>(bytes);
}

fn assert_round_trip<T: Encode + Decode<()> + PartialEq + std::fmt::Debug>(message: &T) {
    let decoded = encode(message).and_then(|bytes| decode::<T>(&bytes));
    assert_eq!(decoded.as_ref(), Ok(message));
}

proptest! {
    /// Guards against a panic on arbitrary bytes received on the internal port.
    #[test]
    fn any_bytes_decode_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        decode_all(&bytes);
        let mut decoder = FrameDecoder::default();
        decoder.extend(&bytes);
        while let Ok(Some(_)) = decoder.next_message::<BatchCommand>() {}
    }

    /// Guards against a panic on a valid message with a few changed bytes, which passes the first
    /// checks that random bytes fail.
    #[test]
    fn changed_messages_decode_without_panic(
        request in caller_request(),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
    ) {
        let mut bytes = encode(&ForwardedRequest { request, deadline_unix_ms: 7 }).unwrap();
        for (position, value) in changes {
            let position = position.index(bytes.len());
            bytes[position] = value;
        }
        decode_all(&bytes);
    }

    /// Guards against messages whose fields change when they are encoded and decoded.
    #[test]
    fn messages_round_trip(
        request in caller_request(),
        deadline_unix_ms in any::<u64>(),
        sequence in any::<u64>(),
        body in prop::collection::vec(any::<u8>(), 0..100),
        shared_leaf in any::<bool>(),
    ) {
        assert_round_trip(&ForwardedRequest { request, deadline_unix_ms });
        let call = CallId { incarnation: Incarnation::new(1, 2), sequence };
        let snapshot = Snapshot { version: sequence, layout: 3 };
        let result = LeafResult::Answered { snapshot, body };
        assert_round_trip(&LeafReply { call, result, shared_leaf });
        assert_round_trip(&BatchCommand::Cancel(call));
    }

    /// Guards against frames that are lost or merged when the stream delivers them in parts of any
    /// size.
    #[test]
    fn frames_survive_any_split(
        messages in prop::collection::vec(caller_request(), 1..5),
        part_bytes in 1..50_usize,
    ) {
        let mut stream = Vec::new();
        for message in &messages {
            stream.extend_from_slice(&encode_frame(message).unwrap());
        }
        let mut decoder = FrameDecoder::default();
        let mut taken = Vec::new();
        for part in stream.chunks(part_bytes) {
            decoder.extend(part);
            while let Some(message) = decoder.next_message::<CallerRequest>().unwrap() {
                taken.push(message);
            }
        }
        prop_assert_eq!(taken, messages);
    }

    /// Guards against tickets that change when they are formatted and parsed, and against a second
    /// accepted notation of the same ticket, with a leading zero or a sign.
    #[test]
    fn tickets_round_trip(ticket in ticket()) {
        let text = ticket.to_string();
        prop_assert_eq!(Ticket::parse(&text), Some(ticket));
        let (block, number) = text.rsplit_once('.').unwrap();
        prop_assert_eq!(Ticket::parse(&format!("{block}.0{number}")), None);
        prop_assert_eq!(Ticket::parse(&format!("{block}.+{number}")), None);
    }

    /// Guards against a panic on arbitrary text from a caller, a target, the platform or an
    /// operator.
    #[test]
    fn any_text_parses_without_panic(text in "\\PC{0,200}", bytes in any::<Vec<u8>>()) {
        let _ = Ticket::parse(&text);
        let _ = Snapshot::parse(&text);
        let _ = Incarnation::parse(&text);
        let _ = ConfigFile::parse(text.as_bytes());
        let _ = ConfigFile::parse(&bytes);
        let _ = serde_json::from_slice::<CallerRequest>(&bytes);
        let _ = serde_json::from_str::<CallerRequest>(&text);
        let mut store = DocumentStore::default();
        store.offer(VM_LIST, 1, text.as_bytes(), 0);
        store.offer(VM_LIST, 2, &bytes, 0);
    }

    /// Guards against a panic on text that nearly matches the expected syntax and so reaches the
    /// later stages of the parsers.
    #[test]
    fn similar_text_parses_without_panic(
        ticket in "[0-9a-f]{15,17}/[0-9.:\\[\\]]{0,20}/[0-9+]{0,21}-[0-9]{0,21}-[0-9a-f]{0,17}\\.[0-9]{0,11}",
        snapshot in "[0-9+-]{0,22}\\.[0-9]{0,12}",
        request in "\\{\"(service|member|deadline_ms)\":(\"a\"|[0-9]{1,30}|\\[+)\\}",
        file in "(region = \"a\"\n)?\\[service\\.[a-z]{0,3}\\]\n(policy|leaf_slots) = (\"latency\"|-?[0-9]{1,25})\n",
        vms in "\\{\"vms\":\\[(\\{\"name\":\"a\"\\})?\\]\\}",
    ) {
        let _ = Ticket::parse(&ticket);
        let _ = Snapshot::parse(&snapshot);
        let _ = serde_json::from_str::<CallerRequest>(&request);
        let _ = ConfigFile::parse(file.as_bytes());
        DocumentStore::default().offer(VM_LIST, 1, vms.as_bytes(), 0);
    }

    /// Guards against caller requests and snapshots that change when they are serialized and
    /// parsed.
    #[test]
    fn caller_requests_round_trip(request in caller_request(), version: u64, layout: u32) {
        let json = serde_json::to_vec(&request).unwrap();
        prop_assert_eq!(serde_json::from_slice::<CallerRequest>(&json).unwrap(), request);
        let snapshot = Snapshot { version, layout };
        prop_assert_eq!(Snapshot::parse(&snapshot.to_string()), Some(snapshot));
    }
}
