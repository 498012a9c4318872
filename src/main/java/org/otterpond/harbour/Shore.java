package org.otterpond.harbour;

import java.util.Map;
import org.otterpond.chart.Configuration;
import org.otterpond.signal.Flag;

/** The data plane, as the control side sees it: it is handed news. */
public interface Shore {
    void configured(Configuration configuration);

    void worker(Vessel vessel);

    /** How many nodes hold a lease in each zone, and this node's place among those of its own. */
    void fleet(Map<String, Integer> nodesInZone, int rank);

    /**
     * How the run of that claim went, as this node knows: "answer" with the answer kept, "working", "unknown" if it
     * may have run without a known outcome; null if nothing is known of it.
     */
    Flag outcome(String key, String token);
}
