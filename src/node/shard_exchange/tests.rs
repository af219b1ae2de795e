//! Golden keys of what shards tell each other: another version must find them under the same names.

use super::*;

#[test]
fn keys_of_the_exchange_between_cells() {
    assert_eq!(SHARDS_PREFIX, "cells/");
    assert_eq!(LEDGER_KEY, "cells/escrow");
    assert_eq!(PICTURES, "cells/pic/");
    assert_eq!(ORDERS_KEY, "cells/orders");
    assert_eq!(PRESENT_PREFIX, "own/node/");
    assert_eq!(SHARD_LEADERSHIP_PREFIX, "own/c/");
}
