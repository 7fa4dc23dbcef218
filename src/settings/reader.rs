//! Reads typed values from a parsed settings file and reports invalid ones.

use std::{cell::RefCell, fmt::Display, str::FromStr};

use jsonc_parser::{
    ast::{Array, Object, Value},
    common::Ranged,
};

use super::finding::FindingCollector;

/// Reads the members of one JSON object.
///
/// Methods that read a member report a finding if a required member is missing or
/// a value is invalid.
pub(super) struct Reader<'a, 'b> {
    object: &'b Object<'a>,
    /// The name of the object in findings.
    label: &'static str,
    /// The names of the members that were read. All others are reported as unknown.
    known_names: RefCell<Vec<&'static str>>,
    findings: &'b RefCell<FindingCollector>,
}

impl<'a, 'b> Reader<'a, 'b> {
    /// Creates a reader of `value`, which findings call `label`. Reports a finding if
    /// `value` is not an object.
    pub(super) fn new(
        value: &'b Value<'a>,
        label: &'static str,
        findings: &'b RefCell<FindingCollector>,
    ) -> Option<Self> {
        let Some(object) = value.as_object() else {
            findings
                .borrow_mut()
                .add(value.start(), format!("{label} must be an object, as in {{ … }}"));
            return None;
        };
        Some(Self { object, label, known_names: RefCell::default(), findings })
    }

    /// Returns the findings, for the readers of nested objects.
    pub(super) fn findings(&self) -> &'b RefCell<FindingCollector> {
        self.findings
    }

    /// Returns the byte offset of a member, or that of the object if the member is
    /// missing.
    pub(super) fn offset_of(&self, name: &str) -> usize {
        self.object.get(name).map_or(self.object.start(), |prop| prop.value.start())
    }

    /// Reports a finding at a member.
    pub(super) fn add_finding(&self, name: &str, text: impl Into<String>) {
        self.findings.borrow_mut().add(self.offset_of(name), text);
    }

    fn get(&self, name: &'static str) -> Option<&'b Value<'a>> {
        self.known_names.borrow_mut().push(name);
        self.object.get(name).map(|prop| &prop.value)
    }

    fn required(&self, name: &'static str) -> Option<&'b Value<'a>> {
        let value = self.get(name);
        if value.is_none() {
            self.add_finding(name, format!("{} lacks `{name}`; add it", self.label));
        }
        value
    }

    /// Reads a required value.
    pub(super) fn value(&self, name: &'static str) -> Option<&'b Value<'a>> {
        self.required(name)
    }

    /// Reads an optional value.
    pub(super) fn optional(&self, name: &'static str) -> Option<&'b Value<'a>> {
        self.get(name)
    }

    /// Reads a required string.
    pub(super) fn string(&self, name: &'static str) -> Option<String> {
        self.string_of(name, self.required(name)?)
    }

    /// Reads an optional string.
    pub(super) fn optional_string(&self, name: &'static str) -> Option<String> {
        self.string_of(name, self.get(name)?)
    }

    fn string_of(&self, name: &str, value: &Value<'_>) -> Option<String> {
        let text = value.as_string_lit().map(|literal| literal.value.to_string());
        match text {
            Some(text) if text.is_empty() => {
                self.add_finding(name, format!("`{name}` is empty; give a non-empty string"));
                None
            }
            Some(text) => Some(text),
            None => {
                self.add_finding(name, format!("`{name}` must be a string, as in \"…\""));
                None
            }
        }
    }

    /// Reads a required string and parses it. `syntax` describes the expected
    /// syntax in findings.
    pub(super) fn parse<T>(&self, name: &'static str, syntax: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.string(name)?;
        match text.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.add_finding(name, format!("`{name}` is `{text}`: {error}; give {syntax}"));
                None
            }
        }
    }

    /// Reads an optional integer from `min` to `max`, or returns its default.
    pub(super) fn number_or(&self, name: &'static str, default: u64, min: u64, max: u64) -> u64 {
        match self.get(name) {
            Some(value) => self.number_of(name, value, min, max).unwrap_or(default),
            None => default,
        }
    }

    /// Reads a required integer from `min` to `max`.
    pub(super) fn number(&self, name: &'static str, min: u64, max: u64) -> Option<u64> {
        self.number_of(name, self.required(name)?, min, max)
    }

    fn number_of(&self, name: &str, value: &Value<'_>, min: u64, max: u64) -> Option<u64> {
        let number = value.as_number_lit().and_then(|literal| literal.value.parse().ok());
        let Some(number) = number else {
            self.add_finding(name, format!("`{name}` must be a whole number from {min} to {max}"));
            return None;
        };
        if !(min..=max).contains(&number) {
            self.add_finding(name, format!("`{name}` is {number}; give {min} to {max}"));
            return None;
        }
        Some(number)
    }

    /// Reads an optional boolean, or returns its default.
    pub(super) fn bool_or(&self, name: &'static str, default: bool) -> bool {
        let Some(value) = self.get(name) else { return default };
        let flag = value.as_boolean_lit().map(|literal| literal.value);
        if flag.is_none() {
            self.add_finding(name, format!("`{name}` must be true or false"));
        }
        flag.unwrap_or(default)
    }

    /// Reads a required list.
    pub(super) fn list(&self, name: &'static str) -> &'b [Value<'a>] {
        self.required(name).map_or(&[], |value| self.list_of(name, value))
    }

    /// Reads an optional list.
    pub(super) fn optional_list(&self, name: &'static str) -> &'b [Value<'a>] {
        self.get(name).map_or(&[], |value| self.list_of(name, value))
    }

    fn list_of(&self, name: &str, value: &'b Value<'a>) -> &'b [Value<'a>] {
        let list: Option<&'b Array<'a>> = value.as_array();
        if list.is_none() {
            self.add_finding(name, format!("`{name}` must be a list, as in [ … ]"));
        }
        list.map_or(&[], |list| &list.elements)
    }

    /// Reads the members of a required object that serves as a map.
    pub(super) fn map(&self, name: &'static str) -> Vec<(String, &'b Value<'a>)> {
        let Some(value) = self.required(name) else { return Vec::new() };
        members(value, name, self.findings)
    }

    /// Reports the members that were never read as unknown.
    pub(super) fn finish(self) {
        let known_names = self.known_names.into_inner();
        for prop in &self.object.properties {
            let name = prop.name.as_str();
            if !known_names.contains(&name) {
                let text = format!(
                    "{} has no member `{name}`; remove it or use one of: {}",
                    self.label,
                    known_names.join(", ")
                );
                self.findings.borrow_mut().add(prop.start(), text);
            }
        }
    }
}

/// Returns the members of an object that serves as a map. Reports a finding if `value`
/// is not an object.
pub(super) fn members<'a, 'b>(
    value: &'b Value<'a>,
    label: &str,
    findings: &RefCell<FindingCollector>,
) -> Vec<(String, &'b Value<'a>)> {
    let Some(object) = value.as_object() else {
        findings
            .borrow_mut()
            .add(value.start(), format!("`{label}` must be an object, as in {{ … }}"));
        return Vec::new();
    };
    object.properties.iter().map(|prop| (prop.name.as_str().to_owned(), &prop.value)).collect()
}
