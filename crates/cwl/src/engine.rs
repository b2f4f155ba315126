//! JavaScript, bounded.
//!
//! Each expression gets a world of its own: what one leaves behind another one
//! must not find, or the same document would mean something else after a
//! restart. Work is bounded by counting, not by a clock, so that all instances
//! of the service agree on which expression is too much; a clock is only the
//! second net, for what the engine does without counting.

use std::time::{Duration, Instant};

use rquickjs::{CatchResultExt, Context, Ctx, Runtime};
use serde_json::Value;

use crate::expr::Scope;

/// What an expression may use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Memory, in bytes.
    pub memory_bytes: usize,
    /// Stack, in bytes; bounds recursion.
    pub stack_bytes: usize,
    /// Work, in times that the engine looks up: one is some 10,000 steps.
    pub max_interrupt_checks: u32,
    /// Time, whatever it does.
    pub timeout: Duration,
    /// The largest result, in bytes of JSON.
    pub result_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_bytes: 32 << 20,
            stack_bytes: 192 << 10,
            max_interrupt_checks: 1_000,
            timeout: Duration::from_secs(5),
            result_bytes: 4 << 20,
        }
    }
}

/// Evaluates JavaScript.
#[derive(Clone, Copy, Debug, Default)]
pub struct Engine {
    /// The bounds of each evaluation.
    pub limits: Limits,
}

impl Engine {
    /// Evaluates a function body, after a library that it may use.
    ///
    /// # Errors
    /// It throws, is no JavaScript, goes beyond a limit, or returns what is no
    /// value; in words.
    pub fn evaluate(
        &self,
        library: &[String],
        body: &str,
        scope: &Scope<'_>,
    ) -> Result<Value, String> {
        let runtime = Runtime::new().map_err(|e| e.to_string())?;
        runtime.set_memory_limit(self.limits.memory_bytes);
        runtime.set_max_stack_size(self.limits.stack_bytes);
        let (mut interrupt_checks, most) = (0, self.limits.max_interrupt_checks);
        let (begun, timeout) = (Instant::now(), self.limits.timeout);
        runtime.set_interrupt_handler(Some(Box::new(move || {
            interrupt_checks += 1;
            interrupt_checks > most || begun.elapsed() > timeout
        })));
        let context = Context::full(&runtime).map_err(|e| e.to_string())?;
        context.with(|ctx| {
            let text = self.run(&ctx, library, body, scope).map_err(|e| {
                // The engine ends what is too much by an exception of its own.
                // The lines after the first are its own.
                let why = e.trim().trim_start_matches("Error: ");
                match why.contains("interrupted") {
                    true => "it does not come to an end: more work than allowed".to_owned(),
                    false => why.lines().next().unwrap_or_default().to_owned(),
                }
            })?;
            match text {
                None => Ok(Value::Null),
                Some(text) if text.len() > self.limits.result_bytes => Err(format!(
                    "its result is larger than {} bytes",
                    self.limits.result_bytes
                )),
                Some(text) => serde_json::from_str(&text).map_err(|e| e.to_string()),
            }
        })
    }

    fn run<'js>(
        &self,
        ctx: &Ctx<'js>,
        library: &[String],
        body: &str,
        scope: &Scope<'_>,
    ) -> Result<Option<String>, String> {
        let globals = ctx.globals();
        let values = [
            ("inputs", scope.inputs_value()),
            ("self", scope.self_value.clone()),
            ("runtime", scope.runtime.clone()),
        ];
        for (name, value) in values {
            let value = ctx.json_parse(value.to_string());
            let value = value.catch(ctx).map_err(|e| e.to_string())?;
            let set = globals.set(name, value).catch(ctx);
            set.map_err(|e| e.to_string())?;
        }
        for part in library {
            let done = ctx.eval::<(), _>(part.as_str()).catch(ctx);
            done.map_err(|e| format!("expressionLib: {e}"))?;
        }
        let source = format!("(function() {{ \"use strict\";\n{body}\n}})()");
        let result = ctx.eval::<rquickjs::Value<'_>, _>(source).catch(ctx);
        let result = result.map_err(|e| e.to_string())?;
        if result.is_function() {
            return Err("it returns a function".into());
        }
        let text = ctx.json_stringify(result).catch(ctx);
        let text = text.map_err(|e| e.to_string())?;
        let text = text.map(|t| t.to_string().catch(ctx).map_err(|e| e.to_string()));
        text.transpose()
    }

    /// Whether a function body is JavaScript at all, without running it.
    ///
    /// # Errors
    /// Why not.
    pub fn check_syntax(&self, body: &str) -> Result<(), String> {
        // Never called, so only what is wrong with the text is found.
        let body = format!("return function() {{\n{body}\n}} && null;");
        self.evaluate(&[], &body, &Scope::default()).map(|_| ())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn js(body: &str) -> Result<Value, String> {
        Engine::default().evaluate(&[], body, &Scope::default())
    }

    #[test]
    fn expressions_are_bounded() {
        assert_eq!(
            js("return [1, 'a', null, {b: 2.5}];"),
            Ok(serde_json::json!([1, "a", null, {"b": 2.5}]))
        );
        assert_eq!(js("return undefined;"), Ok(Value::Null));
        let cases = [
            ("for (;;) {}", "does not come to an end"),
            ("function f() { return f() + 1; } return f();", "call stack"),
            (
                "var a = []; for (;;) a.push(new Array(1000).join('x') + a.length);",
                "memory",
            ),
            ("throw new Error('no label');", "no label"),
            ("return function() {};", "returns a function"),
            ("var a = {}; a.a = a; return a;", "circular"),
            ("x = 1;", "x is not defined"),
            ("return (;", "unexpected token"),
            (
                "return /(a+)+$/.test(new Array(60).join('a') + 'b');",
                "does not come to an end",
            ),
            ("return new Array(5 << 20).join('x');", "larger than"),
        ];
        for (body, why) in cases {
            let error = js(body).expect_err(body);
            assert!(error.contains(why), "{body}: {error}");
        }
    }

    #[test]
    fn evaluations_share_no_state() {
        let engine = Engine::default();
        let library = ["var n = 0; function next() { n += 1; return n; }".to_owned()];
        for _ in 0..3 {
            let scope = Scope::default();
            assert_eq!(
                engine.evaluate(&library, "return next();", &scope),
                Ok(1.into())
            );
        }
        let poison = "Object.prototype.x = 1; return 1;";
        assert_eq!(js(poison), Ok(1.into()));
        assert_eq!(js("return ({}).x;"), Ok(Value::Null));
    }

    #[test]
    fn syntax_is_checked_without_running_the_code() {
        assert_eq!(Engine::default().check_syntax("throw 1;"), Ok(()));
        assert!(Engine::default().check_syntax("return 1 +;").is_err());
    }
}
