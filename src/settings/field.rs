//! Validation of single settings fields, which collects all errors of a file.
//!
//! An operator thus sees all errors at once instead of one per start.

use std::{collections::BTreeMap, net::SocketAddr};

use dogwoodway_types::IdError;
use serde_yaml_ng::Value;

use crate::settings::FieldError;

/// Validates fields one by one and collects the errors.
#[derive(Debug, Default)]
pub(crate) struct FieldValidator {
    errors: Vec<FieldError>,
}

impl FieldValidator {
    /// Validates an IP address with a port.
    pub(crate) fn address(&mut self, field: &str, value: Option<String>) -> Option<SocketAddr> {
        let expected = "an IP address and port, such as 127.0.0.1:8080";
        self.validate(field, value, |text| text.parse().map_err(|_| expected.to_owned()), expected)
    }

    /// Validates an optional IP address with a port.
    pub(crate) fn optional_address(
        &mut self,
        field: &str,
        value: Option<String>,
    ) -> Option<SocketAddr> {
        value.and_then(|text| self.address(field, Some(text)))
    }

    /// Validates a name, such as that of a zone or a backend server.
    pub(crate) fn name<T>(&mut self, field: &str, value: Option<String>) -> Option<T>
    where
        T: for<'a> TryFrom<&'a str, Error = IdError>,
    {
        let check = |text: &str| T::try_from(text).map_err(|e| e.to_string());
        self.validate(field, value, check, "a name")
    }

    /// Validates a text that must not be empty.
    pub(crate) fn text(&mut self, field: &str, value: Option<String>) -> Option<String> {
        let expected = "a text that is not empty";
        let check = |text: &str| match text.is_empty() {
            true => Err(expected.to_owned()),
            false => Ok(text.to_owned()),
        };
        self.validate(field, value, check, expected)
    }

    /// Validates the base URL of a service.
    pub(crate) fn base_url(&mut self, field: &str, value: Option<String>) -> Option<String> {
        let expected = "a base URL such as http://127.0.0.1:7001, without a slash at its end";
        let check = |text: &str| match text.strip_prefix("http://") {
            Some(host) if !host.is_empty() && !host.ends_with('/') => Ok(text.to_owned()),
            _ => Err(expected.to_owned()),
        };
        self.validate(field, value, check, expected)
    }

    /// Validates a choice among named values.
    pub(crate) fn choice<T>(
        &mut self,
        field: &str,
        value: Option<String>,
        choices: &[(&str, T)],
    ) -> Option<T>
    where
        T: Copy,
    {
        let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
        let expected = format!("one of {}", names.join(", "));
        let check = |text: &str| {
            let found = choices.iter().find(|(name, _)| *name == text);
            found.map(|(_, choice)| *choice).ok_or_else(|| expected.clone())
        };
        self.validate(field, value, check, &expected)
    }

    /// Validates an optional number of milliseconds; returns `default` if it is missing or invalid.
    pub(crate) fn millis(&mut self, field: &str, value: Option<Value>, default: u64) -> u64 {
        let Some(value) = value else { return default };
        if let Some(millis) = value.as_u64() {
            return millis;
        }
        let text = serde_yaml_ng::to_string(&value).unwrap_or_default();
        self.errors.push(FieldError {
            field: field.to_owned(),
            value: Some(text.trim_end().to_owned()),
            expected: "a number of milliseconds".to_owned(),
        });
        default
    }

    /// Adds an error for each unknown field, which is most likely misspelt.
    pub(crate) fn reject_unknown(&mut self, unknown: &BTreeMap<String, Value>) {
        for (field, value) in unknown {
            let value = serde_yaml_ng::to_string(value).unwrap_or_default();
            self.errors.push(FieldError {
                field: field.clone(),
                value: Some(value.trim_end().to_owned()),
                expected: "no such field".to_owned(),
            });
        }
    }

    /// Returns all errors found.
    pub(crate) fn into_errors(self) -> Vec<FieldError> {
        self.errors
    }

    /// Validates a required field with `check`, which returns the expected values on failure.
    fn validate<T, F>(
        &mut self,
        field: &str,
        value: Option<String>,
        check: F,
        expected: &str,
    ) -> Option<T>
    where
        F: Fn(&str) -> Result<T, String>,
    {
        let field = field.to_owned();
        let Some(value) = value else {
            self.errors.push(FieldError { field, value: None, expected: expected.to_owned() });
            return None;
        };
        match check(&value) {
            Ok(valid) => Some(valid),
            Err(expected) => {
                self.errors.push(FieldError { field, value: Some(value), expected });
                None
            }
        }
    }
}
