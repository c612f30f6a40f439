//! Merges the records of the shards into the answer to a scatter-gather request.

use bytes::{Bytes, BytesMut};

/// Size of one record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `count` records of all parts in descending order, keeping duplicates.
///
/// A trailing partial record of a part is ignored: the leaf has sent it with an end. A part that the end
/// of its connection has cut within a record is not merged.
///
/// # Examples
///
/// ```
/// use cloverrack::gateway::merge_records;
/// let parts = [vec![1; 16], [vec![3; 16], vec![2; 16], vec![9; 5]].concat()];
/// let parts = parts.map(bytes::Bytes::from);
/// assert_eq!(&merge_records(&parts, 2)[..], &[[3; 16], [2; 16]].concat()[..]);
/// ```
pub fn merge_records(parts: &[Bytes], count: usize) -> Bytes {
    let mut records: Vec<&[u8]> = Vec::new();
    for part in parts {
        records.extend(part.chunks_exact(RECORD_BYTES));
    }
    if records.len() > count && count > 0 {
        records.select_nth_unstable_by(count - 1, |a, b| b.cmp(a));
    }
    records.truncate(count);
    records.sort_unstable_by(|a, b| b.cmp(a));
    let mut body = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    for record in records {
        body.extend_from_slice(record);
    }
    body.freeze()
}
