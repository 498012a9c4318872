package org.otterpond.proxy;

import java.util.Random;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.net.EventLoop;

/**
 * What the steps of the data path share.
 *
 * @param eventLoop the owner thread
 * @param agent the node's access to the control plane
 * @param metrics the counters of the data path
 * @param random the source of spread and draws
 * @param quota the tokens of the tenants' quotas
 * @param keys the idempotency keys that this node has locked
 * @param abandonedWork checks that nothing is done for clients that have left
 */
record DataPathServices(
    EventLoop eventLoop,
    ControlPlaneAgent agent,
    ProxyMetrics metrics,
    Random random,
    QuotaAdmission quota,
    IdempotencyKeys keys,
    AbandonedWorkMonitor abandonedWork) {}
