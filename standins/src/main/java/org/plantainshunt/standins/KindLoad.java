package org.plantainshunt.standins;

import java.util.Locale;

import org.plantainshunt.configuration.PriorityClass;

/**
 * The load of one kind of request, written {@code SERVICE/KIND=RATE}, optionally followed by {@code ,class=CLASS},
 * {@code ,once}, {@code ,deadline=MS}, {@code ,size=BYTES} and {@code ,body=BYTES}.
 *
 * <p>Immutable.
 *
 * @param service the service called
 * @param kind the kind of request
 * @param priorityClass the priority class that results are counted under
 * @param atMostOnce whether requests of this kind run at most once
 * @param rate requests per second
 * @param deadlineMilliseconds deadline of a request, from the time at which it is due
 * @param responseBytes number of filler bytes in the response body
 * @param bodyBytes size of the request body in bytes
 */
public record KindLoad(
        String service,
        String kind,
        PriorityClass priorityClass,
        boolean atMostOnce,
        double rate,
        long deadlineMilliseconds,
        int responseBytes,
        int bodyBytes) {
    private static final long DEFAULT_DEADLINE_MILLISECONDS = 2_000;
    private static final int DEFAULT_RESPONSE_BYTES = 512;

    /** Returns the URL path of the kind without a leading slash. */
    public String target() {
        return service + "/" + kind;
    }

    /** Returns the same load with another rate in requests per second. */
    public KindLoad withRate(double other) {
        return new KindLoad(
                service, kind, priorityClass, atMostOnce, other, deadlineMilliseconds, responseBytes, bodyBytes);
    }

    /**
     * Parses the form described above.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    static KindLoad parse(String text) {
        String[] parts = text.split(",", -1);
        String[] head = parts[0].split("[/=]", -1);
        if (head.length != 3) {
            throw new IllegalArgumentException("load is not of the form SERVICE/KIND=RATE: " + text);
        }
        KindLoad load = new KindLoad(
                head[0],
                head[1],
                PriorityClass.STANDARD,
                false,
                Double.parseDouble(head[2]),
                DEFAULT_DEADLINE_MILLISECONDS,
                DEFAULT_RESPONSE_BYTES,
                0);
        for (int index = 1; index < parts.length; index++) {
            load = load.with(parts[index]);
        }
        return load;
    }

    private KindLoad with(String option) {
        String[] parts = option.split("=", -1);
        String value = parts.length > 1 ? parts[1] : "";
        PriorityClass nextClass = priorityClass;
        boolean nextAtMostOnce = atMostOnce;
        long nextDeadline = deadlineMilliseconds;
        int nextResponseBytes = responseBytes;
        int nextBodyBytes = bodyBytes;
        switch (parts[0]) {
            case "class" -> nextClass = PriorityClass.valueOf(value.toUpperCase(Locale.ROOT));
            case "once" -> nextAtMostOnce = true;
            case "deadline" -> nextDeadline = Long.parseLong(value);
            case "size" -> nextResponseBytes = Integer.parseInt(value);
            case "body" -> nextBodyBytes = Integer.parseInt(value);
            default -> throw new IllegalArgumentException("unknown load option: " + option);
        }
        return new KindLoad(
                service, kind, nextClass, nextAtMostOnce, rate, nextDeadline, nextResponseBytes, nextBodyBytes);
    }
}
