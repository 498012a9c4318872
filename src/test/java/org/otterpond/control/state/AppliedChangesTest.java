package org.otterpond.control.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class AppliedChangesTest {
  private static String digest(long n) {
    return Hashing.sha256().hashString("change " + n, StandardCharsets.UTF_8).toString();
  }

  @Test
  void newestAreKnownUpToTheBoundAndSurviveASnapshot() {
    AppliedChanges t = new AppliedChanges();
    int all = AppliedChanges.MOST + 10;
    for (long n = 1; n <= all; n++) {
      t.add(2 * n, digest(n));
    }
    byte[] packed = t.pack();
    assertEquals(24 * AppliedChanges.MOST, packed.length);
    AppliedChanges copy = new AppliedChanges();
    copy.add(7, digest(7));
    copy.load(packed);
    for (AppliedChanges c : new AppliedChanges[] {t, copy}) {
      assertEquals(AppliedChanges.MOST, c.size());
      assertFalse(c.holds(20, digest(10)), "beyond the bound");
      assertTrue(c.holds(22, digest(11)));
      assertTrue(c.holds(2L * all, digest(all)));
      assertFalse(c.holds(2L * all, digest(all - 1)), "another change under the number");
      assertFalse(c.holds(7, digest(7)));
    }
    // Both forget the same one next.
    t.add(2L * all + 2, digest(all + 1));
    copy.add(2L * all + 2, digest(all + 1));
    assertFalse(t.holds(22, digest(11)) || copy.holds(22, digest(11)));
    copy.load(null);
    assertEquals(0, copy.size());
  }
}
