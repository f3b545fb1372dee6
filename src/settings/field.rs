//! Checks of single fields, which collect all faults of a file.

use std::{collections::BTreeMap, net::SocketAddr};

use dogwoodway_types::IdError;
use serde_yaml_ng::Value;

use crate::settings::FieldError;

/// Checks fields one by one and keeps what is wrong with them.
#[derive(Debug, Default)]
pub(crate) struct Fields {
    faults: Vec<FieldError>,
}

impl Fields {
    /// Checks an IP address with a port.
    pub(crate) fn address(&mut self, field: &str, value: Option<String>) -> Option<SocketAddr> {
        let allowed = "an IP address and port, such as 127.0.0.1:8080";
        self.checked(field, value, |text| text.parse().map_err(|_| allowed.to_owned()), allowed)
    }

    /// Checks an address that may be left out.
    pub(crate) fn optional_address(
        &mut self,
        field: &str,
        value: Option<String>,
    ) -> Option<SocketAddr> {
        value.and_then(|text| self.address(field, Some(text)))
    }

    /// Checks a name.
    pub(crate) fn name<T>(&mut self, field: &str, value: Option<String>) -> Option<T>
    where
        T: for<'a> TryFrom<&'a str, Error = IdError>,
    {
        let check = |text: &str| T::try_from(text).map_err(|e| e.to_string());
        self.checked(field, value, check, "a name")
    }

    /// Checks a text that must not be empty.
    pub(crate) fn text(&mut self, field: &str, value: Option<String>) -> Option<String> {
        let allowed = "a text that is not empty";
        let check = |text: &str| match text.is_empty() {
            true => Err(allowed.to_owned()),
            false => Ok(text.to_owned()),
        };
        self.checked(field, value, check, allowed)
    }

    /// Checks a base URL.
    pub(crate) fn base_url(&mut self, field: &str, value: Option<String>) -> Option<String> {
        let allowed = "a base URL such as http://127.0.0.1:7001, without a slash at its end";
        let check = |text: &str| match text.strip_prefix("http://") {
            Some(host) if !host.is_empty() && !host.ends_with('/') => Ok(text.to_owned()),
            _ => Err(allowed.to_owned()),
        };
        self.checked(field, value, check, allowed)
    }

    /// Checks a choice among named values.
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
        let allowed = format!("one of {}", names.join(", "));
        let check = |text: &str| {
            let found = choices.iter().find(|(name, _)| *name == text);
            found.map(|(_, choice)| *choice).ok_or_else(|| allowed.clone())
        };
        self.checked(field, value, check, &allowed)
    }

    /// Checks a number of milliseconds that may be left out.
    pub(crate) fn millis(&mut self, field: &str, value: Option<Value>, default: u64) -> u64 {
        let Some(value) = value else { return default };
        if let Some(millis) = value.as_u64() {
            return millis;
        }
        let text = serde_yaml_ng::to_string(&value).unwrap_or_default();
        self.faults.push(FieldError {
            field: field.to_owned(),
            value: Some(text.trim_end().to_owned()),
            allowed: "a number of milliseconds".to_owned(),
        });
        default
    }

    /// Refuses fields that do not exist.
    pub(crate) fn refuse_unknown(&mut self, unknown: &BTreeMap<String, Value>) {
        for (field, value) in unknown {
            let value = serde_yaml_ng::to_string(value).unwrap_or_default();
            self.faults.push(FieldError {
                field: field.clone(),
                value: Some(value.trim_end().to_owned()),
                allowed: "no such field".to_owned(),
            });
        }
    }

    /// Returns all faults found.
    pub(crate) fn into_faults(self) -> Vec<FieldError> {
        self.faults
    }

    fn checked<T, F>(
        &mut self,
        field: &str,
        value: Option<String>,
        check: F,
        allowed: &str,
    ) -> Option<T>
    where
        F: Fn(&str) -> Result<T, String>,
    {
        let field = field.to_owned();
        let Some(value) = value else {
            self.faults.push(FieldError { field, value: None, allowed: allowed.to_owned() });
            return None;
        };
        match check(&value) {
            Ok(checked) => Some(checked),
            Err(allowed) => {
                self.faults.push(FieldError { field, value: Some(value), allowed });
                None
            }
        }
    }
}
