package org.almondslip.accounting;

import java.util.Map;

/**
 * Report that has not been acknowledged.
 *
 * @param sequence the sequence number
 * @param charges the charges by flow identity
 * @param childSequences the reports of the children that it contains
 */
record UnacknowledgedReport(
    long sequence, Map<Integer, Long> charges, Map<String, Long> childSequences) {}
