package org.otterpond.harbour;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.signal.Flag;

/** What an epoch names: its primary, its backup (null only in a core of one) and the core's members. */
public record EpochRecord(String fleet, long epoch, Berth primary, Berth backup, List<Berth> members, int target) {
    public Flag toFlag() {
        List<Flag> ms = new ArrayList<>();
        members.forEach(m -> ms.add(m.toFlag()));
        return new Flag("epoch").with("fleet", fleet).with("epoch", epoch).with("primary", primary.toFlag())
                .with("backup", backup == null ? null : backup.toFlag()).withFlags("members", ms)
                .with("target", target);
    }

    public static EpochRecord of(Flag f) {
        if (f == null) {
            return null;
        }
        List<Berth> ms = new ArrayList<>();
        f.flags("members").forEach(m -> ms.add(Berth.of(m)));
        return new EpochRecord(f.text("fleet"), f.number("epoch"), Berth.of(f.flag("primary")),
                Berth.of(f.flag("backup")), List.copyOf(ms), (int) f.number("target"));
    }

    public boolean hasMember(String diskId) {
        return members.stream().anyMatch(m -> m.diskId().equals(diskId));
    }

    public boolean inPair(String diskId) {
        return primary.diskId().equals(diskId) || (backup != null && backup.diskId().equals(diskId));
    }

    public int quorum() {
        return members.size() / 2 + 1;
    }

    public int indexOf(String diskId) {
        for (int i = 0; i < members.size(); i++) {
            if (members.get(i).diskId().equals(diskId)) {
                return i;
            }
        }
        return -1;
    }
}
