package io.lagoonseam.entry.log;

/** Allows lines up to a number of lines and bytes a second, with a second's worth at once. */
final class LineBudget {

    private static final double NANOS_A_SECOND = 1e9;

    private final double linesASecond;
    private final double bytesASecond;
    private double lines;
    private double bytes;
    private long filledNanos;

    LineBudget(double linesASecond, double bytesASecond, long nowNanos) {
        this.linesASecond = linesASecond;
        this.bytesASecond = bytesASecond;
        this.lines = linesASecond;
        this.bytes = bytesASecond;
        this.filledNanos = nowNanos;
    }

    /** Takes a line of a usual length if there is room for it; {@link #wrote} then counts its bytes. */
    boolean tryTake(long nowNanos) {
        double seconds = Math.max(0, nowNanos - filledNanos) / NANOS_A_SECOND;
        filledNanos = nowNanos;
        lines = Math.min(linesASecond, lines + seconds * linesASecond);
        bytes = Math.min(bytesASecond, bytes + seconds * bytesASecond);
        if (lines < 1 || bytes <= 0) {
            return false;
        }
        lines--;
        return true;
    }

    void wrote(int length) {
        bytes -= length;
    }
}
