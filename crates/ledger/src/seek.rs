//! Finds the start position in a long stream, so that a new reader skips irrelevant records.

use crate::client;
use crate::client::LogClient;

/// Returns an offset such that a reader which starts there reads all records of the last
/// `lookback_ms` before the stream's last record. Needs a logarithmic number of reads.
///
/// If the log's clock goes back, the search may end among the records around that step, so
/// `lookback_ms` must include a margin for such steps.
///
/// # Errors
/// Returns an error if the log cannot be read.
pub async fn find_start<C: LogClient>(
    client: &C,
    stream: &str,
    lookback_ms: u64,
) -> Result<u64, client::ReadError> {
    let prober = StreamProber { client, stream };
    let Some(first) = prober.probe(0).await? else {
        return Ok(0);
    };
    let last = prober.find_last(first).await?;
    let oldest_ms = last.at_ms.saturating_sub(lookback_ms);
    let mut low = first.offset;
    let mut high = last.offset;
    while low < high {
        let middle = low + (high - low) / 2;
        match prober.probe(middle).await? {
            Some(found) if found.at_ms < oldest_ms => low = found.offset + 1,
            _ => high = middle,
        }
    }
    Ok(low)
}

#[derive(Clone, Copy)]
struct ProbedRecord {
    offset: u64,
    at_ms: u64,
}

struct StreamProber<'a, C> {
    client: &'a C,
    stream: &'a str,
}

impl<C: LogClient> StreamProber<'_, C> {
    /// Returns the record at `offset`, or the first retained one if that was dropped; `None` past
    /// the end.
    async fn probe(&self, offset: u64) -> Result<Option<ProbedRecord>, client::ReadError> {
        let mut from = offset;
        loop {
            let query = client::ReadQuery {
                stream: self.stream.to_owned(),
                from,
                max: 1,
                wait_ms: 0,
            };
            match self.client.read(&query).await {
                Ok(page) => {
                    return Ok(page.records.first().map(|found| ProbedRecord {
                        offset: found.offset,
                        at_ms: found.at_ms,
                    }));
                }
                Err(client::ReadError::Dropped { first, .. }) if first > from => from = first,
                Err(error) => return Err(error),
            }
        }
    }

    /// Returns the last record, or one shortly before it if the stream grows during the search.
    async fn find_last(&self, first: ProbedRecord) -> Result<ProbedRecord, client::ReadError> {
        let mut last = first;
        let mut step = 1;
        while let Some(found) = self.probe(last.offset + step).await? {
            last = found;
            step *= 2;
        }
        while step > 1 {
            step /= 2;
            if let Some(found) = self.probe(last.offset + step).await? {
                last = found;
            }
        }
        Ok(last)
    }
}
