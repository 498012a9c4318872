package org.otterpond.cargo;

import org.otterpond.quay.Tender;

/** One sending of a request to one worker, until it is answered, fails or is given up. */
final class Attempt {
    final Hull hull;
    Tender tender;

    Attempt(Hull hull) {
        this.hull = hull;
    }
}
