package silverlatch.state;

/** Builder of a changed row of the table, initialized from an existing row. */
final class RowBuilder {
    private final String kind;
    private String tenant;
    private double prefixWeight;
    private double loadWeight;
    private double warmupWeight;
    private double localityWeight;
    private double requestsPerSecond;
    private double burstRequests;
    private int maxRunning;
    private int maxQueued;
    private long timeoutMicros;
    private boolean atMostOnce;
    private int priority;

    RowBuilder(final Value.Row row) {
        kind = row.kind();
        tenant = row.tenant();
        prefixWeight = row.prefixWeight();
        loadWeight = row.loadWeight();
        warmupWeight = row.warmupWeight();
        localityWeight = row.localityWeight();
        requestsPerSecond = row.requestsPerSecond();
        burstRequests = row.burstRequests();
        maxRunning = row.maxRunning();
        maxQueued = row.maxQueued();
        timeoutMicros = row.timeoutMicros();
        atMostOnce = row.atMostOnce();
        priority = row.priority();
    }

    RowBuilder tenant(final String name) {
        tenant = name;
        return this;
    }

    /**
     * Sets a field from text.
     *
     * @throws NumberFormatException if the field is numeric and the text is not a number
     * @throws IllegalArgumentException if there is no such field, or the field is boolean and the text is neither true
     *     nor false
     */
    RowBuilder cell(final String field, final String text) {
        switch (field) {
            case "prefix" -> prefixWeight = Double.parseDouble(text);
            case "load" -> loadWeight = Double.parseDouble(text);
            case "cold" -> warmupWeight = Double.parseDouble(text);
            case "cross" -> localityWeight = Double.parseDouble(text);
            case "rate" -> requestsPerSecond = Double.parseDouble(text);
            case "burst" -> burstRequests = Double.parseDouble(text);
            case "running" -> maxRunning = Integer.parseInt(text);
            case "queue" -> maxQueued = Integer.parseInt(text);
            case "hold" -> timeoutMicros = Long.parseLong(text);
            case "once" -> atMostOnce = parseFlag(text);
            case "rank" -> priority = Integer.parseInt(text);
            default ->
                throw new IllegalArgumentException(
                        "no field " + field + "; there are " + String.join(", ", TableRules.FIELDS));
        }
        return this;
    }

    private static boolean parseFlag(final String text) {
        if (!text.equals("true") && !text.equals("false")) {
            throw new IllegalArgumentException("once is true or false, not " + text);
        }
        return text.equals("true");
    }

    Value.Row build() {
        return new Value.Row(
                tenant,
                kind,
                prefixWeight,
                loadWeight,
                warmupWeight,
                localityWeight,
                requestsPerSecond,
                burstRequests,
                maxRunning,
                maxQueued,
                timeoutMicros,
                atMostOnce,
                priority);
    }
}
