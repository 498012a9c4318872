package org.otterpond.harbour;

import org.otterpond.chart.Configuration;

/** The data plane, as the control side sees it: it is handed news. */
public interface Shore {
    void configured(Configuration configuration);

    void worker(Vessel vessel);

    /** How many nodes hold a lease. */
    void nodes(int count);
}
