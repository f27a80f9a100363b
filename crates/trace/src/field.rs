//! Traits that the field types of events implement: heap size and conversion to text.

use base::{class, fingerprint, outcome, refusal};

/// Heap memory that a field owns.
pub trait HeapSize {
    /// Returns the bytes on the heap; 0 for types that are stored inline in the event.
    fn heap_bytes(&self) -> usize {
        0
    }
}

impl HeapSize for u32 {}
impl HeapSize for u64 {}
impl HeapSize for class::TrafficClass {}
impl HeapSize for refusal::RefusalCode {}
impl HeapSize for outcome::RanState {}
impl HeapSize for fingerprint::ContentHash {}

impl HeapSize for String {
    fn heap_bytes(&self) -> usize {
        self.capacity()
    }
}

/// Human-readable text of a field.
pub trait FieldText {
    /// Returns the text, without quotes.
    fn field_text(&self) -> String;
}

impl FieldText for u32 {
    fn field_text(&self) -> String {
        self.to_string()
    }
}

impl FieldText for u64 {
    fn field_text(&self) -> String {
        self.to_string()
    }
}

impl FieldText for String {
    fn field_text(&self) -> String {
        self.clone()
    }
}

impl FieldText for class::TrafficClass {
    fn field_text(&self) -> String {
        self.name().to_owned()
    }
}

impl FieldText for refusal::RefusalCode {
    fn field_text(&self) -> String {
        json_name(self)
    }
}

impl FieldText for outcome::RanState {
    fn field_text(&self) -> String {
        json_name(self)
    }
}

impl FieldText for fingerprint::ContentHash {
    fn field_text(&self) -> String {
        self.to_string()
    }
}

/// The name that JSON gives to a unit variant.
fn json_name<T: serde::Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        _ => "unknown".to_owned(),
    }
}
