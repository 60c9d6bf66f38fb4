package store

import "testing"

// Nodes of different builds send each other topics by number.
func TestTopicsKeepTheirNumbers(t *testing.T) {
	numbers := map[Topic]int{
		TopicOperator: 0, TopicServers: 1, TopicJobs: 2, TopicJobIndex: 3, TopicProgress: 4, TopicLeases: 5, TopicServerRelay: 6,
		TopicUsage: 7, TopicQuarantine: 8, TopicServerList: 9,
	}
	for topic, number := range numbers {
		if int(topic) != number {
			t.Errorf("%s has number %d, not %d", topic, topic, number)
		}
	}
}

// A node of a later build may send a topic that this build has no name for.
func TestUnknownTopicIsNamedByNumber(t *testing.T) {
	if got := Topic(99).String(); got != "topic 99" {
		t.Errorf("%q", got)
	}
}
