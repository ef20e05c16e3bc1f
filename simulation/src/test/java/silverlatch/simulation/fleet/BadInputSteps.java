package silverlatch.simulation.fleet;

/** Checks that each kind of bad input is rejected with the right status and the location of the fault. */
final class BadInputSteps {
    private static final String PLACEMENT = "{\"tenant\":\"travellers\",\"kind\":\"fare\"}";

    private BadInputSteps() {}

    /** Sends every kind of bad input to a gateway or a controller. */
    static void rejectsBadInput(final Fleet fleet) throws Exception {
        rejectsBadDocuments(fleet);
        rejectsBadPlacements(fleet);
        rejectsBadRequests(fleet);
        rejectsWrongKeys(fleet);
        rejectsBadTables(fleet);
    }

    private static void rejectsBadDocuments(final Fleet fleet) throws Exception {
        FleetSteps.assertAnswer(
                fleet, () -> fleet.callAsOperator("gateway-1", "POST", "/v1/picks", "{nonsense"), 400, "$: not JSON");
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAsOperator("gateway-1", "POST", "/v1/picks", "[".repeat(40) + "]".repeat(40)),
                422,
                "$: deeper than");
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAsOperator(
                        "gateway-1", "POST", "/v1/picks", "{\"tenant\":7,\"kind\":\"fare\",\"prefix\":[1],\"odd\":1}"),
                422,
                "$.tenant: a text is needed");
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAsOperator(
                        "gateway-1", "POST", "/v1/picks", "{\"tenant\":\"t\",\"kind\":\"fare\",\"odd\":1}"),
                422,
                "$.odd: unknown key");
    }

    private static void rejectsBadPlacements(final Fleet fleet) throws Exception {
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAsOperator("gateway-1", "POST", "/v1/picks", PLACEMENT),
                401,
                "the tenant or its key is not known");
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAs(
                        "key-travellers", "gateway-1", "POST", "/v1/picks", PLACEMENT.replace("fare", "nothing")),
                422,
                "$.kind: no kind nothing");
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAs(
                        "key-travellers", "gateway-1", "POST", "/v1/picks", PLACEMENT.replace("fare", "ruling")),
                422,
                "$.key");
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAs("key-travellers", "gateway-1", "POST", "/v1/picks", PLACEMENT),
                200,
                "picked");
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAs(
                        "key-kiosks",
                        "gateway-1",
                        "POST",
                        "/v1/picks",
                        PLACEMENT.replace("travellers", "kiosks-rhodes")),
                200,
                "pointed");
    }

    private static void rejectsBadRequests(final Fleet fleet) throws Exception {
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAs(
                        "key-travellers",
                        "gateway-1",
                        "POST",
                        "/v1/tickets",
                        "{\"permit\":\"forged.forged\",\"prompt\":\"x\"}"),
                403,
                "no seal of ours");
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAs("key-travellers", "gateway-1", "GET", "/v1/tickets/someone-elses", ""),
                404,
                "no such request");
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAs(
                        "key-travellers",
                        "gateway-1",
                        "POST",
                        "/v1/tickets",
                        "{\"prompt\":\"" + "x".repeat(5 << 20) + "\"}"),
                413,
                "larger than");
    }

    private static void rejectsWrongKeys(final Fleet fleet) throws Exception {
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAs("wrong", "gateway-1", "POST", "/v1/announcements", "{}"),
                401,
                "workers' key");
        FleetSteps.assertAnswer(
                fleet, () -> fleet.callAs("wrong", "gateway-1", "GET", "/status", ""), 401, "operator's key");
        FleetSteps.assertAnswer(
                fleet, () -> fleet.callAs("wrong", "controller-1", "GET", "/v1/table", ""), 401, "operator's key");
    }

    private static void rejectsBadTables(final Fleet fleet) throws Exception {
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAsOperator(
                        "controller-1",
                        "PATCH",
                        "/v1/table",
                        "{\"cells\":[{\"tenant\":\"*\",\"kind\":\"fare\",\"field\":\"rate\",\"value\":\"fast\"},"
                                + "{\"tenant\":\"nobody\",\"kind\":\"fare\",\"field\":\"load\",\"value\":1}]}"),
                422,
                "$.cells[0]: rate takes a number, not fast");
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAsOperator(
                        "controller-1",
                        "PUT",
                        "/v1/table",
                        "{\"rows\":[{\"tenant\":\"*\",\"kind\":\"fare\",\"rate\":-1,\"colour\":2}]}"),
                422,
                "$.rows[0].colour: unknown key");
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAsOperator("controller-1", "PUT", "/v1/zones/syros", "{}"),
                422,
                "$.empty: missing");
        FleetSteps.assertAnswer(
                fleet, () -> fleet.callAsOperator("controller-1", "GET", "/v1/changes/none-such", ""), 404, "absent");
    }
}
