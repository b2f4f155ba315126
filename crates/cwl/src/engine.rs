//! Evaluation of JavaScript with limits on memory, work and time.
//!
//! Each evaluation has its own runtime. State that one expression left for
//! another would be lost by a restart, and the same document would then give
//! other results. Work is limited by a count rather than by a clock, so that all
//! instances of the service reject the same expressions. The timeout is a
//! fallback for work that the engine does not count.

use std::time::{Duration, Instant};

use rquickjs::{CatchResultExt, Context, Ctx, Runtime};
use serde_json::Value;

use crate::expr::Scope;

/// Limits of one evaluation.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Memory, in bytes.
    pub memory_bytes: usize,
    /// Stack, in bytes; limits recursion.
    pub stack_bytes: usize,
    /// Work, in calls of the interrupt handler; the engine calls it about once
    /// in 10,000 steps.
    pub max_interrupt_checks: u32,
    /// Elapsed time, checked in each call of the interrupt handler.
    pub timeout: Duration,
    /// Size of the result as JSON, in bytes.
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

/// Evaluates JavaScript expressions.
#[derive(Clone, Copy, Debug, Default)]
pub struct Engine {
    /// The limits of each evaluation.
    pub limits: Limits,
}

impl Engine {
    /// Evaluates a function body after the sources of a library that it may use.
    ///
    /// # Errors
    /// If the code throws, is not valid JavaScript, exceeds a limit, or returns
    /// something that JSON can't hold; as a text for the user.
    pub fn evaluate(
        &self,
        library: &[String],
        body: &str,
        scope: &Scope<'_>,
    ) -> Result<Value, String> {
        let runtime = Runtime::new().map_err(|e| e.to_string())?;
        runtime.set_memory_limit(self.limits.memory_bytes);
        runtime.set_max_stack_size(self.limits.stack_bytes);
        let (mut interrupt_checks, max_checks) = (0, self.limits.max_interrupt_checks);
        let (started, timeout) = (Instant::now(), self.limits.timeout);
        runtime.set_interrupt_handler(Some(Box::new(move || {
            interrupt_checks += 1;
            interrupt_checks > max_checks || started.elapsed() > timeout
        })));
        let context = Context::full(&runtime).map_err(|e| e.to_string())?;
        context.with(|ctx| {
            let text = self.run(&ctx, library, body, scope).map_err(|e| {
                // The engine throws an exception when the interrupt handler stops
                // the code. The lines after the first are a stack trace.
                let why = e.trim().trim_start_matches("Error: ");
                match why.contains("interrupted") {
                    true => "evaluation exceeds the limit of work or time".to_owned(),
                    false => why.lines().next().unwrap_or_default().to_owned(),
                }
            })?;
            match text {
                None => Ok(Value::Null),
                Some(text) if text.len() > self.limits.result_bytes => Err(format!(
                    "the result is larger than {} bytes",
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
            return Err("the code returns a function, which is not a JSON value".into());
        }
        let text = ctx.json_stringify(result).catch(ctx);
        let text = text.map_err(|e| e.to_string())?;
        let text = text.map(|t| t.to_string().catch(ctx).map_err(|e| e.to_string()));
        text.transpose()
    }

    /// Checks the syntax of a function body without running it.
    ///
    /// # Errors
    /// The syntax error that the engine reports.
    pub fn check_syntax(&self, body: &str) -> Result<(), String> {
        // The function is never called, so only its syntax is checked.
        let body = format!("return function() {{\n{body}\n}} && null;");
        self.evaluate(&[], &body, &Scope::default()).map(|_| ())
    }
}

#[cfg(test)]
mod tests;
