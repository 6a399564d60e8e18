//! Typed access to the fields of one JSON object, with the path of each fault.

use serde_json::{Map, Value};

use super::{FieldError, TraceProblem};

/// Largest whole number taken from a trace; larger ones are surely mistakes.
const LARGEST: u64 = 1 << 53;

/// The fields of one object.
pub struct Fields {
    path: String,
    map: Map<String, Value>,
}

impl Fields {
    /// Reads a line.
    pub fn parse(text: &str) -> Result<Self, FieldError> {
        match serde_json::from_str(text) {
            Ok(Value::Object(map)) => Ok(Fields { path: String::new(), map }),
            _ => Err(("line".into(), TraceProblem::NotAnObject)),
        }
    }

    /// A text that is not empty.
    pub fn text(&self, name: &str) -> Result<String, FieldError> {
        let text = self.value(name)?.as_str().filter(|text| !text.is_empty());
        text.map(str::to_owned).ok_or_else(|| self.invalid(name, "a text"))
    }

    /// A text or null.
    pub fn optional_text(&self, name: &str) -> Result<Option<String>, FieldError> {
        if self.value(name)?.is_null() { Ok(None) } else { self.text(name).map(Some) }
    }

    /// A text, null or nothing at all.
    pub fn optional_text_or_absent(&self, name: &str) -> Result<Option<String>, FieldError> {
        if self.map.contains_key(name) { self.optional_text(name) } else { Ok(None) }
    }

    /// A list of texts.
    pub fn texts(&self, name: &str) -> Result<Vec<String>, FieldError> {
        let expected = "a list of texts";
        let items = self.value(name)?.as_array();
        let items = items.ok_or_else(|| self.invalid(name, expected))?;
        let texts = items.iter().map(|item| item.as_str().map(str::to_owned));
        texts.collect::<Option<_>>().ok_or_else(|| self.invalid(name, expected))
    }

    /// True or false.
    pub fn flag(&self, name: &str) -> Result<bool, FieldError> {
        self.value(name)?.as_bool().ok_or_else(|| self.invalid(name, "true or false"))
    }

    /// A whole number of zero or more.
    pub fn whole(&self, name: &str) -> Result<u64, FieldError> {
        let number = self.value(name)?.as_u64().filter(|number| *number <= LARGEST);
        number.ok_or_else(|| self.invalid(name, "a whole number of zero or more"))
    }

    /// A whole number of one or more.
    pub fn positive(&self, name: &str) -> Result<u64, FieldError> {
        let number = self.whole(name)?;
        if number == 0 {
            Err(self.invalid(name, "a whole number of one or more"))
        } else {
            Ok(number)
        }
    }

    /// A whole number from one to a million.
    pub fn count(&self, name: &str) -> Result<u32, FieldError> {
        const MOST: u64 = 1_000_000;
        let number = self.positive(name)?;
        if number > MOST {
            return Err(self.invalid(name, "a whole number from one to a million"));
        }
        Ok(number as u32)
    }

    /// A number from 0 to 1.
    pub fn unit(&self, name: &str) -> Result<f64, FieldError> {
        let number = self.value(name)?.as_f64().filter(|number| (0.0..=1.0).contains(number));
        number.ok_or_else(|| self.invalid(name, "a number from 0 to 1"))
    }

    /// An object whose values are objects.
    pub fn objects(&self, name: &str) -> Result<Vec<(String, Fields)>, FieldError> {
        let object = self.value(name)?.as_object();
        let object = object.ok_or_else(|| self.invalid(name, "an object"))?;
        let mut found = Vec::with_capacity(object.len());
        for (key, value) in object {
            let path = format!("{}.", self.field(&format!("{name}.{key}")));
            let Value::Object(map) = value else {
                return Err((path.trim_end_matches('.').to_owned(), TraceProblem::NotAnObject));
            };
            found.push((key.clone(), Fields { path, map: map.clone() }));
        }
        Ok(found)
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
