package org.almondslip.accounting;

import java.util.Map;

/**
 * Service report that no digest has acknowledged.
 *
 * @param sequence the sequence number
 * @param charges the charges by flow identity
 * @param childSequences the sequence number of the last contained report, by child
 */
record UnacknowledgedReport(
    long sequence, Map<Integer, Long> charges, Map<String, Long> childSequences) {}
