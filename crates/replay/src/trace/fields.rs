//! Typed access to the fields of a JSON object, with the path of each faulty field.

use serde_json::{Map, Value};

use super::{FieldError, TraceProblem};

/// Largest integer accepted in a trace; larger ones are assumed to be mistakes.
const MAX_INTEGER: u64 = 1 << 53;

/// The fields of a JSON object.
pub struct Fields {
    path: String,
    map: Map<String, Value>,
}

impl Fields {
    /// Parses a line that contains one JSON object.
    pub fn parse(text: &str) -> Result<Self, FieldError> {
        match serde_json::from_str(text) {
            Ok(Value::Object(map)) => Ok(Fields { path: String::new(), map }),
            _ => Err(("line".into(), TraceProblem::NotAnObject)),
        }
    }

    /// Returns a non-empty string.
    pub fn string(&self, name: &str) -> Result<String, FieldError> {
        let text = self.value(name)?.as_str().filter(|text| !text.is_empty());
        text.map(str::to_owned).ok_or_else(|| self.invalid(name, "a non-empty string"))
    }

    /// Returns a non-empty string, or `None` for null.
    pub fn optional_string(&self, name: &str) -> Result<Option<String>, FieldError> {
        if self.value(name)?.is_null() { Ok(None) } else { self.string(name).map(Some) }
    }

    /// Returns a non-empty string, or `None` for null or a missing field.
    pub fn optional_string_or_absent(&self, name: &str) -> Result<Option<String>, FieldError> {
        if self.map.contains_key(name) { self.optional_string(name) } else { Ok(None) }
    }

    /// Returns a list of strings.
    pub fn strings(&self, name: &str) -> Result<Vec<String>, FieldError> {
        let expected = "a list of strings";
        let items = self.value(name)?.as_array();
        let items = items.ok_or_else(|| self.invalid(name, expected))?;
        let strings = items.iter().map(|item| item.as_str().map(str::to_owned));
        strings.collect::<Option<_>>().ok_or_else(|| self.invalid(name, expected))
    }

    /// Returns a boolean.
    pub fn boolean(&self, name: &str) -> Result<bool, FieldError> {
        self.value(name)?.as_bool().ok_or_else(|| self.invalid(name, "true or false"))
    }

    /// Returns an integer from 0 to [`MAX_INTEGER`].
    pub fn unsigned(&self, name: &str) -> Result<u64, FieldError> {
        let number = self.value(name)?.as_u64().filter(|number| *number <= MAX_INTEGER);
        number.ok_or_else(|| self.invalid(name, "a whole number of zero or more"))
    }

    /// Returns an integer from 1 to [`MAX_INTEGER`].
    pub fn positive(&self, name: &str) -> Result<u64, FieldError> {
        let number = self.unsigned(name)?;
        if number == 0 {
            Err(self.invalid(name, "a whole number of one or more"))
        } else {
            Ok(number)
        }
    }

    /// Returns an integer from 1 to a million.
    pub fn count(&self, name: &str) -> Result<u32, FieldError> {
        const MAX_COUNT: u64 = 1_000_000;
        let number = self.positive(name)?;
        if number > MAX_COUNT {
            return Err(self.invalid(name, "a whole number from one to a million"));
        }
        Ok(number as u32)
    }

    /// Returns a number from 0 to 1.
    pub fn ratio(&self, name: &str) -> Result<f64, FieldError> {
        let number = self.value(name)?.as_f64().filter(|number| (0.0..=1.0).contains(number));
        number.ok_or_else(|| self.invalid(name, "a number from 0 to 1"))
    }

    /// Returns the keys and values of an object whose values are objects.
    pub fn objects(&self, name: &str) -> Result<Vec<(String, Fields)>, FieldError> {
        let object = self.value(name)?.as_object();
        let object = object.ok_or_else(|| self.invalid(name, "an object"))?;
        let mut objects = Vec::with_capacity(object.len());
        for (key, value) in object {
            let path = format!("{}.", self.field(&format!("{name}.{key}")));
            let Value::Object(map) = value else {
                return Err((path.trim_end_matches('.').to_owned(), TraceProblem::NotAnObject));
            };
            objects.push((key.clone(), Fields { path, map: map.clone() }));
        }
        Ok(objects)
    }

    fn value(&self, name: &str) -> Result<&Value, FieldError> {
        self.map.get(name).ok_or_else(|| (self.field(name), TraceProblem::Missing))
    }

    fn invalid(&self, name: &str, expected: &'static str) -> FieldError {
        (self.field(name), TraceProblem::Invalid(expected))
    }

    fn field(&self, name: &str) -> String {
        format!("{}{name}", self.path)
    }
}
