package org.otterpond.harbour;

import java.util.List;

/** Who this process is. The disk identity is null where there is no disk. */
public record NodeIdentity(String address, String name, String zone, String diskId, boolean blankDisk,
        boolean firstLife, List<String> seeds, long life) {}
