package org.otterpond.proxy;

/** Names of the headers that the gateway reads or writes. */
public final class GatewayHeaders {
  /** Identifies one attempt of a client; each response must bring it back. */
  public static final String ATTEMPT_ID = "X-Otterpond-Attempt-Id";

  /** How long the sender waits for the response, in milliseconds. */
  public static final String TIME_REMAINING = "X-Otterpond-Time-Remaining";

  /** The idempotency key of an operation on a keyed route. */
  public static final String OPERATION_KEY = "X-Otterpond-Operation-Key";

  /** Set by a worker in each response to a request that it has executed. */
  public static final String SERVER_SEAL = "X-Otterpond-Server-Seal";

  /** The worker instance that a request is meant for; any other answers 421. */
  public static final String EXPECTED_INSTANCE = "X-Otterpond-Expected-Instance";

  /** The tenant whose access key came with the request. */
  public static final String TENANT_ID = "X-Otterpond-Tenant-Id";

  /** Key from 0 to 65535 by which requests to a partitioned service find their worker. */
  public static final String PARTITION_KEY = "X-Otterpond-Partition-Key";

  /** Carries the access key of a tenant as a bearer token. */
  public static final String AUTHORIZATION = "Authorization";

  /** Set by a worker in a response that says that the request was not executed. */
  public static final String NOT_EXECUTED = "X-Otterpond-Not-Executed";

  private GatewayHeaders() {}
}
