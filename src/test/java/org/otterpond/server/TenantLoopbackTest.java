package org.otterpond.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Access keys and quotas of tenants, through the real sockets of one node. */
class TenantLoopbackTest extends GatewayFixture {
  /** A new primary's bucket begins empty; it holds its burst of 4 after 0.8 s at 5 a second. */
  private static final long BUCKET_FILL_MILLIS = 2_000;

  @Test
  void accessKeysIdentifyTenants() throws IOException {
    assertEquals(401, status(ask("GET /s/x")));
    assertEquals(401, status(ask("GET /s/x", "Authorization: Bearer nobody\r\n", "")));
    assertEquals(401, status(ask("GET /s/x", "Authorization: Basic key-a\r\n", "")));
    assertEquals(
        401,
        status(
            ask("GET /s/x", "Authorization: Bearer key-a\r\nAuthorization: Bearer key-b\r\n", "")));
    assertEquals(0, worker.requests.size());
    try (RawClient c = new RawClient(front)) {
      String refused = c.send(head("GET /s/x", "")).answer();
      assertEquals("Bearer", ScriptedWorker.header(refused, "WWW-Authenticate"));
      assertEquals(
          200,
          status(
              c.send(
                      head(
                          "GET /s/x",
                          "Authorization: bearer key-a\r\nX-Otterpond-Tenant-Id: other\r\n"))
                  .answer()));
    }
    String seen = worker.requests.get(0);
    assertEquals("acme", ScriptedWorker.header(seen, "X-Otterpond-Tenant-Id"));
    assertNull(ScriptedWorker.header(seen, "Authorization"));
    ask("GET /p/x", "Authorization: Bearer key-a\r\nX-Otterpond-Tenant-Id: other\r\n", "");
    assertNull(ScriptedWorker.header(worker.requests.get(1), "X-Otterpond-Tenant-Id"));
    assertNull(ScriptedWorker.header(worker.requests.get(1), "Authorization"));
  }

  @Test
  void requestsBeyondTheQuotaAreRejectedWithRetryAfter() throws Exception {
    TimeUnit.MILLISECONDS.sleep(BUCKET_FILL_MILLIS);
    long began = System.nanoTime();
    int over = 0;
    for (int i = 0; i < 40 && over < 3; i++) {
      String a =
          ask("GET /s/x", "Authorization: Bearer key-s\r\nX-Otterpond-Time-Remaining: 400\r\n", "");
      if (status(a) == 429) {
        over++;
        assertTrue(Double.parseDouble(ScriptedWorker.header(a, "Retry-After")) > 0);
      }
    }
    double most = 4 + 5 * (System.nanoTime() - began) / 1e9 + 1;
    assertEquals(3, over);
    assertTrue(worker.requests.size() <= most, worker.requests.size() + " ran, of " + most);
    assertTrue(worker.requests.size() >= 3, "what is within the quota is served");
  }
}
