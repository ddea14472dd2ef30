//! A configuration like that of a small deployment: one service of engines and one plain service.

use serde_json::Value;
use serde_json::json;

/// Host of all routes.
pub const HOST: &str = "desk.example";
/// Key of the only tenant.
pub const KEY: &str = "key-1";
/// Plain service.
pub const PLAIN: &str = "order-desk";
/// Service of engines.
pub const ENGINES: &str = "quote-llm";
/// Path of orders, which may run at most once.
pub const ORDER: &str = "/order/1";
/// Path of streams that may be resumed.
pub const STREAM: &str = "/stream/1";

/// Returns the configuration with the time-out of orders.
pub fn configuration(order_timeout_ms: u64) -> Value {
    json!({
        "version": 1,
        "routes": [
            {
                "name": "order", "host": HOST, "path-prefix": "/order/", "route-type": "unsafe",
                "timeout-ms": order_timeout_ms, "target-latency-ms": 300, "priority": 2,
                "service": PLAIN, "max-attempts": 1, "public": false,
            },
            {
                "name": "stream", "host": HOST, "path-prefix": "/stream/",
                "route-type": "streaming", "timeout-ms": 14_000, "target-latency-ms": 900,
                "priority": 1, "service": ENGINES, "max-attempts": 2, "public": false,
                "sticky": true, "resumable": true, "gap-target-ms": 300,
            },
        ],
        "services": [
            { "name": PLAIN, "health-check": "/health", "max-connections": 100 },
            {
                "name": ENGINES, "health-check": "/health", "max-connections": 156,
                "engine": {
                    "slots": 12, "kv-tokens": 106_421, "kv-token-bytes": 35_136,
                    "handle-ttl-s": 0.5,
                },
            },
        ],
        "limits": {
            "max-header-bytes": 16_384, "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000,
        },
        "tenants": [{
            "name": "tenant-1", "api-keys": [KEY], "unit": "generate", "plain-tokens": 200,
            "rate-per-s": 30_000, "burst": 60_000,
        }],
    })
}
