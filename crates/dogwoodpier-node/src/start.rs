//! Starting and stopping a node.
