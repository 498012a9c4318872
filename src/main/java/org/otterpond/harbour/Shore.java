package org.otterpond.harbour;

import java.util.List;
import org.otterpond.chart.Configuration;
import org.otterpond.signal.Flag;

/** The data plane, as the control side sees it: it is handed news. */
public interface Shore {
    void configured(Configuration configuration);

    void worker(Vessel vessel);

    /** The zones of the nodes that hold a lease, one entry a node. */
    void nodes(List<String> zones);

    /** The answer that this node keeps of that run, or null. */
    Flag keptAnswer(String key, String token);
}
