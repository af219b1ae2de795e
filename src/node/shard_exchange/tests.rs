//! Golden tests of the keys through which shards exchange values: other versions use the same names.

use super::{LEDGER_KEY, LOAD_SNAPSHOTS_PREFIX, ORDERS_KEY, PRESENT_PREFIX, SHARD_LEADERSHIP_PREFIX, SHARDS_PREFIX};

#[test]
fn keys_of_the_exchange_between_shards() {
    assert_eq!(SHARDS_PREFIX, "cells/");
    assert_eq!(LEDGER_KEY, "cells/escrow");
    assert_eq!(LOAD_SNAPSHOTS_PREFIX, "cells/pic/");
    assert_eq!(ORDERS_KEY, "cells/orders");
    assert_eq!(PRESENT_PREFIX, "own/node/");
    assert_eq!(SHARD_LEADERSHIP_PREFIX, "own/c/");
}
